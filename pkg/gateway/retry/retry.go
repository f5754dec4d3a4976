// Package retry bounds the work that failures and slowness add: a [Budget] ties
// second attempts to the traffic, so that a service that is down sees little
// more than its callers send, and a [Quantile] says when an answer is late
// enough for a second server to be asked (Dean and Barroso, "The Tail at Scale",
// 2013).
package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Budget gives out second attempts as a share of the first ones.
type Budget struct {
	ratio  float64
	mu     sync.Mutex
	tokens float64
}

// burstTokens is how many attempts may be saved up.
const burstTokens = 10

// NewBudget returns a budget of ratio second attempts for each first one.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: burstTokens} }

// Deposit notes a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burstTokens, b.tokens+b.ratio)
}

// TryWithdraw takes a second attempt; false when there is none left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// The pause before another attempt grows from the first to the longest.
const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// Backoff returns how long to wait before the n-th second attempt, from 1, spread
// over its whole length so that callers do not come back together.
func Backoff(n int) time.Duration {
	d := min(maxBackoff, minBackoff<<(n-1))
	return rand.N(d)
}

// Quantile follows a quantile of a changing distribution by small steps.
type Quantile struct {
	q       float64
	samples atomic.Int64
	bits    atomic.Uint64 // of the estimate in nanoseconds
}

// NewQuantile returns an estimate of the q-quantile, 0 < q < 1.
func NewQuantile(q float64) *Quantile { return &Quantile{q: q} }

const (
	stepFraction = 0.05 // of the estimate, for one sample
	stepScale    = 2    // a rise takes 9.5% of the 0.95-quantile, a fall 0.5%
	minSamples   = 50   // samples before the estimate is used
)

// Observe takes a sample in; samples that race may overwrite each other, which a step of a few percent allows.
func (e *Quantile) Observe(d time.Duration) {
	old := math.Float64frombits(e.bits.Load())
	x := float64(d)
	n := e.samples.Add(1)
	step := old * stepFraction
	switch {
	case n == 1:
		old = x
	case x > old:
		old += min(step*e.q*stepScale, x-old)
	default:
		old -= step * (1 - e.q) * stepScale
	}
	e.bits.Store(math.Float64bits(old))
}

// Value returns the estimate; ok is false while there are too few samples.
func (e *Quantile) Value() (d time.Duration, ok bool) {
	return time.Duration(math.Float64frombits(e.bits.Load())), e.samples.Load() >= minSamples
}
