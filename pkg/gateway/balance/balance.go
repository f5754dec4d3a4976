// Package balance chooses one of several interchangeable targets.
//
// Package gateway uses a [Policy] to choose the backend server of each attempt. A policy sees
// targets only through the [Target] interface.
package balance

import (
	"math/rand/v2"
	"sync/atomic"
)

// Target is something that requests can be sent to.
type Target interface {
	comparable
	// Usable reports whether the target accepts requests now.
	Usable() bool
	// Cost estimates the time of a new request at the target, in any unit.
	Cost() float64
}

// Policy chooses among targets.
type Policy[T Target] interface {
	// Pick returns a usable target for which skip is false; ok is false if there is none.
	Pick(targets []T, skip func(T) bool) (target T, ok bool)
}

// RoundRobin chooses the targets in turn.
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

// firstUsable returns the first usable target, going around once from start.
func firstUsable[T Target](targets []T, start int, skip func(T) bool) (target T, ok bool) {
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if t.Usable() && !skip(t) {
			return t, true
		}
	}
	return target, false
}

// PowerOfTwo chooses the cheaper of two random targets (Mitzenmacher, "The Power of Two Choices
// in Randomized Load Balancing", 2001).
type PowerOfTwo[T Target] struct{}

// maxDraws is the number of random draws before all targets are scanned.
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

// draw returns a random usable target, beginning with the one at index first.
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
