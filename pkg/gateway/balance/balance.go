// Package balance chooses one of several interchangeable targets.
//
// A [Policy] sees targets only through the [Target] interface, so that the
// same code is measured on plain values and used on backend servers.
package balance

import (
	"math/rand/v2"
	"sync/atomic"
)

// Target is something that work can be given to.
type Target interface {
	comparable
	// Usable tells whether the target takes work now.
	Usable() bool
	// Cost estimates how long new work would take there; only comparisons count.
	Cost() float64
}

// Policy chooses among targets.
type Policy[T Target] interface {
	// Pick returns a usable target that skip does not exclude; ok is false when there is none.
	Pick(targets []T, skip func(T) bool) (target T, ok bool)
}

// RoundRobin takes the targets in turn; it is the baseline.
type RoundRobin[T Target] struct {
	next atomic.Uint64
}

// Pick implements Policy.
func (p *RoundRobin[T]) Pick(targets []T, skip func(T) bool) (target T, ok bool) {
	if len(targets) == 0 {
		return target, false
	}
	return firstUsable(targets, int(p.next.Add(1)%uint64(len(targets))), skip)
}

// firstUsable goes through all targets once from a start.
func firstUsable[T Target](targets []T, start int, skip func(T) bool) (target T, ok bool) {
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if t.Usable() && !skip(t) {
			return t, true
		}
	}
	return target, false
}

// PowerOfTwo takes the cheaper of two different random targets (Mitzenmacher, "The Power
// of Two Choices in Randomized Load Balancing", 2001).
type PowerOfTwo[T Target] struct{}

// maxDraws is how often an unusable draw is repeated before all targets are gone through.
const maxDraws = 4

// Pick implements Policy.
func (PowerOfTwo[T]) Pick(targets []T, skip func(T) bool) (target T, ok bool) {
	n := len(targets)
	if n == 0 {
		return target, false
	}
	a, okA := draw(targets, rand.IntN(n), skip)
	if !okA {
		return target, false
	}
	b, okB := draw(targets, rand.IntN(n), func(t T) bool { return t == a || skip(t) })
	if okB && b.Cost() < a.Cost() {
		return b, true
	}
	return a, true
}

// draw returns a random usable target, starting from a first guess.
func draw[T Target](targets []T, first int, skip func(T) bool) (target T, ok bool) {
	at := first
	for range maxDraws {
		if t := targets[at]; t.Usable() && !skip(t) {
			return t, true
		}
		at = rand.IntN(len(targets))
	}
	return firstUsable(targets, at, skip)
}
