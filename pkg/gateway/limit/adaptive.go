package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// The adaptation: additive increase while answers come as fast as they can and
// the limit is used, multiplicative decrease when they do not (after Chiu and
// Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
// Avoidance", 1989).
const (
	initialLimit = 4
	lowestLimit  = 2
	// congested is how many times the undisturbed latency is taken for a queue at the server.
	congested = 1.35
	// undisturbed is up to where more may be tried.
	undisturbed = 1.15
	decrease    = 0.85
	overload    = 0.7 // after a deadline that passed
	// inUse is the part of the limit that must be in flight for it to rise.
	inUse = 0.8
	// smoothing weighs a new sample.
	smoothing = 0.1
	// betweenDecreases lets a decrease show its effect before the next.
	betweenDecreases = 50 * time.Millisecond
)

// shareOf is the part of a server's limit that a class may fill, so that the
// next request of a higher one finds a place at once.
var shareOf = map[schema.Class]float64{
	schema.ClassLive: 1, schema.ClassInteractive: 1, schema.ClassClerk: 0.85, schema.ClassBatch: 0.7,
}

// Room is how many requests may be in flight for one more of a class to join them.
func Room(limit int64, class schema.Class) int64 {
	return max(1, int64(float64(limit)*shareOf[class]))
}

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

// Answered takes an answer into account: its latency as a multiple of the
// undisturbed one, and how many requests were in flight.
func (a *Adaptive) Answered(ratio float64, inFlight int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratio += smoothing * (ratio - a.ratio)
	switch {
	case a.ratio > congested:
		a.drop(decrease, now)
	case a.ratio < undisturbed && float64(inFlight) >= inUse*math.Floor(a.limit):
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
// mean of a batch in the last one to two windows, so that it can rise again.
// Means are taken so that kinds whose work varies by itself do not look
// congested beside their quickest request.
type Baseline struct {
	mu             sync.Mutex
	began          time.Time
	current, older time.Duration // lowest means of this window and the one before
	sum            time.Duration
	n              int
}

const (
	// window is how long a lowest mean counts, at least.
	window = 30 * time.Second
	batch  = 16
)

// Observe takes a latency in and returns it as a multiple of the undisturbed one.
func (b *Baseline) Observe(d time.Duration, now time.Time) (ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum += d
	b.n++
	if b.n == batch {
		b.take(b.sum/batch, now)
		b.sum, b.n = 0, 0
	}
	lowest := b.current
	if b.older > 0 && (lowest == 0 || b.older < lowest) {
		lowest = b.older
	}
	if lowest == 0 {
		return 1 // the first batch
	}
	return float64(d) / float64(max(lowest, shortest))
}

// take keeps a batch's mean; the caller holds the lock.
func (b *Baseline) take(mean time.Duration, now time.Time) {
	if now.Sub(b.began) > window {
		b.older, b.current, b.began = b.current, 0, now
	}
	if b.current == 0 || mean < b.current {
		b.current = mean
	}
}

// shortest keeps noise of very quick answers from looking like a queue.
const shortest = time.Millisecond
