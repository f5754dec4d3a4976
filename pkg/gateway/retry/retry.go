// Package retry bounds the load that retries and hedged requests of package gateway add. A
// [Budget] limits them to a fraction of the requests, and a [Quantile] estimates the latency after
// which a request is hedged (Dean and Barroso, "The Tail at Scale", 2013).
package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Budget is a token bucket that is filled by requests and emptied by retries.
// Every request deposits ratio tokens, every retry withdraws one.
type Budget struct {
	ratio  float64
	mu     sync.Mutex
	tokens float64
}

// burstTokens is the capacity of the bucket.
const burstTokens = 10

// NewBudget returns a full budget that allows ratio retries per request.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: burstTokens} }

// Deposit records a request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burstTokens, b.tokens+b.ratio)
}

// TryWithdraw takes a token for a retry; it returns false if none is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounds of the exponential backoff.
const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// Backoff returns a random delay before the n-th retry, n from 1. The jitter covers the whole
// delay so that callers do not retry together.
func Backoff(n int) time.Duration {
	d := min(maxBackoff, minBackoff<<(n-1))
	return rand.N(d)
}

// Quantile estimates a quantile of a changing distribution by stochastic approximation.
type Quantile struct {
	q       float64
	samples atomic.Int64
	bits    atomic.Uint64 // the estimate in nanoseconds, as float bits
}

// NewQuantile returns an estimator of the q-quantile, 0 < q < 1.
func NewQuantile(q float64) *Quantile { return &Quantile{q: q} }

const (
	stepFraction = 0.05 // step size as a fraction of the estimate
	stepScale    = 2    // scales the steps up and down, whose ratio is q to 1-q
	minSamples   = 50   // samples needed before Value is valid
)

// Observe adds a sample. Concurrent calls may lose samples, which the small steps tolerate.
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
