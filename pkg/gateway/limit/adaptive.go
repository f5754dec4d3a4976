package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

// The adaptation: additive increase while answers come as fast as they can and
// the limit is used, multiplicative decrease when they do not (after Chiu and
// Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
// Avoidance", 1989).
const (
	initialLimit = 16
	lowestLimit  = 4
	// congested is how many times the undisturbed latency is taken for a queue at the server.
	congested = 2.5
	decrease  = 0.85
	overload  = 0.7 // after a deadline that passed
	// smoothing weighs a new sample.
	smoothing = 0.1
	// betweenDecreases lets a decrease show its effect before the next.
	betweenDecreases = 100 * time.Millisecond
)

// Adaptive is the limit of requests in flight to one server.
type Adaptive struct {
	current atomic.Int64

	mu       sync.Mutex
	limit    float64
	highest  float64
	ratio    float64 // smoothed latency over the undisturbed one
	lastDrop time.Time
}

// NewAdaptive returns a limit that never exceeds highest.
func NewAdaptive(highest int) *Adaptive {
	a := &Adaptive{limit: min(initialLimit, float64(highest)), highest: float64(highest), ratio: 1}
	a.current.Store(int64(a.limit))
	return a
}

// Limit returns the limit now.
func (a *Adaptive) Limit() int64 { return a.current.Load() }

// SetHighest changes the bound of the limit.
func (a *Adaptive) SetHighest(highest int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.highest = float64(highest)
	a.set(a.limit)
}

// Answered takes an answer into account: its latency as a multiple of the
// undisturbed one, and how many requests were in flight.
func (a *Adaptive) Answered(ratio float64, inFlight int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratio += smoothing * (ratio - a.ratio)
	switch {
	case a.ratio > congested:
		a.drop(decrease, now)
	case float64(inFlight)*2 >= a.limit:
		a.set(a.limit + 1/a.limit)
	}
}

// Overdue takes an answer that did not come in time into account.
func (a *Adaptive) Overdue(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(overload, now)
}

// drop lowers the limit; the caller holds the lock.
func (a *Adaptive) drop(factor float64, now time.Time) {
	if now.Sub(a.lastDrop) < betweenDecreases {
		return
	}
	a.lastDrop = now
	a.set(a.limit * factor)
}

// set bounds and publishes the limit; the caller holds the lock.
func (a *Adaptive) set(limit float64) {
	a.limit = max(min(lowestLimit, a.highest), min(limit, a.highest))
	a.current.Store(int64(a.limit))
}

// Baseline follows the undisturbed latency of one kind of request: the lowest
// seen in the last one to two windows, so that it can rise again.
type Baseline struct {
	mu             sync.Mutex
	began          time.Time
	current, older time.Duration
}

// window is how long a lowest latency counts, at least.
const window = 30 * time.Second

// Observe takes a latency in and returns it as a multiple of the undisturbed one.
func (b *Baseline) Observe(d time.Duration, now time.Time) (ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.began) > window {
		b.older, b.current, b.began = b.current, d, now
	}
	if b.current == 0 || d < b.current {
		b.current = max(d, 1)
	}
	lowest := b.current
	if b.older > 0 {
		lowest = min(lowest, b.older)
	}
	return float64(d) / float64(max(lowest, shortest))
}

// shortest keeps noise of very quick answers from looking like a queue.
const shortest = time.Millisecond
