package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// The adaptation: additive increase while answers come as fast as they can and
// the limit is used, multiplicative decreaseFactor when they do not (after Chiu and
// Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
// Avoidance", 1989).
const (
	initialLimit = 4
	minLimit     = 2
	// congestedRatio is how many times the undisturbed latency is taken for a queue at the server.
	congestedRatio = 1.35
	// uncongestedRatio is up to where more may be tried.
	uncongestedRatio = 1.15
	decreaseFactor   = 0.85
	timeoutFactor    = 0.7 // after a deadline that passed
	// minUtilization is the part of the limit that must be in flight for it to rise.
	minUtilization = 0.8
	// smoothingFactor weighs a new sample.
	smoothingFactor = 0.1
	// minDecreaseInterval lets a decrease show its effect before the next.
	minDecreaseInterval = 50 * time.Millisecond
)

// classShare is the part of a server's limit that a class may fill, so that the
// next request of a higher one finds a place at once.
var classShare = map[schema.Class]float64{
	schema.ClassLive: 1, schema.ClassInteractive: 1, schema.ClassClerk: 0.85, schema.ClassBatch: 0.7,
}

// ClassLimit is how many requests may be in flight for one more of a class to join them.
func ClassLimit(limit int64, class schema.Class) int64 {
	return max(1, int64(float64(limit)*classShare[class]))
}

// Adaptive is the limit of requests in flight to one server.
type Adaptive struct {
	current atomic.Int64

	mu           sync.Mutex
	limit        float64
	maxLimit     float64
	ratio        float64 // smoothed latency over the undisturbed one
	lastDecrease time.Time
}

// NewAdaptive returns a limit that never exceeds highest.
func NewAdaptive(maxLimit int) *Adaptive {
	a := &Adaptive{limit: min(initialLimit, float64(maxLimit)), maxLimit: float64(maxLimit), ratio: 1}
	a.current.Store(int64(a.limit))
	return a
}

// Limit returns the limit now.
func (a *Adaptive) Limit() int64 { return a.current.Load() }

// ObserveResponse takes an answer into account: its latency as a multiple of the
// undisturbed one, and how many requests were in flight.
func (a *Adaptive) ObserveResponse(ratio float64, inFlight int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratio += smoothingFactor * (ratio - a.ratio)
	switch {
	case a.ratio > congestedRatio:
		a.decrease(decreaseFactor, now)
	case a.ratio < uncongestedRatio && float64(inFlight) >= minUtilization*math.Floor(a.limit):
		a.set(a.limit + 1/a.limit)
	}
}

// ObserveTimeout takes an answer that did not come in time into account.
func (a *Adaptive) ObserveTimeout(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decrease(timeoutFactor, now)
}

// decrease lowers the limit; the caller holds the lock.
func (a *Adaptive) decrease(factor float64, now time.Time) {
	if now.Sub(a.lastDecrease) < minDecreaseInterval {
		return
	}
	a.lastDecrease = now
	a.set(a.limit * factor)
}

// set bounds and publishes the limit; the caller holds the lock.
func (a *Adaptive) set(limit float64) {
	a.limit = max(min(minLimit, a.maxLimit), min(limit, a.maxLimit))
	a.current.Store(int64(a.limit))
}

// Baseline follows the undisturbed latency of one kind of request: the lowest
// mean of a batch in the last one to two windows, so that it can rise again.
// Means are taken so that kinds whose work varies by itself do not look
// congested beside their quickest request.
type Baseline struct {
	mu                sync.Mutex
	windowStart       time.Time
	current, previous time.Duration // lowest means of this window and the one before
	sum               time.Duration
	n                 int
}

const (
	// baselineWindow is how long a lowest mean counts, at least.
	baselineWindow = 30 * time.Second
	baselineBatch  = 16
)

// Observe takes a latency in and returns it as a multiple of the undisturbed one.
func (b *Baseline) Observe(d time.Duration, now time.Time) (ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum += d
	b.n++
	if b.n == baselineBatch {
		b.addMean(b.sum/baselineBatch, now)
		b.sum, b.n = 0, 0
	}
	lowest := b.current
	if b.previous > 0 && (lowest == 0 || b.previous < lowest) {
		lowest = b.previous
	}
	if lowest == 0 {
		return 1 // the first batch
	}
	return float64(d) / float64(max(lowest, minBaseline))
}

// addMean keeps a batch's mean; the caller holds the lock.
func (b *Baseline) addMean(mean time.Duration, now time.Time) {
	if now.Sub(b.windowStart) > baselineWindow {
		b.previous, b.current, b.windowStart = b.current, 0, now
	}
	if b.current == 0 || mean < b.current {
		b.current = mean
	}
}

// minBaseline keeps noise of very quick answers from looking like a queue.
const minBaseline = time.Millisecond
