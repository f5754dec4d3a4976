package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Parameters of the adaptive limit: additive increase while latency is low and the limit is
// used, multiplicative decrease when latency rises (after Chiu and Jain, "Analysis of the
// Increase and Decrease Algorithms for Congestion Avoidance", 1989).
const (
	initialLimit = 4 // requests in flight
	minLimit     = 2 // requests in flight
	// congestedRatio is the latency ratio above which requests are assumed to queue at the
	// server.
	congestedRatio = 1.35
	// uncongestedRatio is the latency ratio below which the limit may rise.
	uncongestedRatio = 1.15
	decreaseFactor   = 0.85
	timeoutFactor    = 0.7 // after a timeout
	// minUtilization is the fraction of the limit that must be in flight for it to rise.
	minUtilization = 0.8
	// smoothingFactor is the weight of a new sample in the moving average.
	smoothingFactor = 0.1
	// minDecreaseInterval lets one decrease take effect before the next.
	minDecreaseInterval = 50 * time.Millisecond
)

// classShare is the fraction of a server's limit that a class of requests may use, so that higher
// classes always find capacity.
var classShare = map[schema.Class]float64{
	schema.ClassLive: 1, schema.ClassInteractive: 1, schema.ClassClerk: 0.85, schema.ClassBatch: 0.7,
}

// ClassLimit returns how many requests may be in flight, of all classes, for another one of
// class to be admitted.
func ClassLimit(limit int64, class schema.Class) int64 {
	return max(1, int64(float64(limit)*classShare[class]))
}

// Adaptive is an adaptive limit of the requests in flight to one server.
type Adaptive struct {
	current atomic.Int64

	mu           sync.Mutex
	limit        float64
	maxLimit     float64
	ratio        float64 // moving average of the latency ratio
	lastDecrease time.Time
}

// NewAdaptive returns a limit that never exceeds maxLimit.
func NewAdaptive(maxLimit int) *Adaptive {
	a := &Adaptive{limit: min(initialLimit, float64(maxLimit)), maxLimit: float64(maxLimit), ratio: 1}
	a.current.Store(int64(a.limit))
	return a
}

// Limit returns the current limit.
func (a *Adaptive) Limit() int64 { return a.current.Load() }

// ObserveResponse updates the limit after a response. ratio is the latency divided by the
// uncongested latency; inFlight is the number of requests in flight.
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

// ObserveTimeout lowers the limit after a request without a response in time.
func (a *Adaptive) ObserveTimeout(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decrease(timeoutFactor, now)
}

// decrease lowers the limit; the caller holds mu.
func (a *Adaptive) decrease(factor float64, now time.Time) {
	if now.Sub(a.lastDecrease) < minDecreaseInterval {
		return
	}
	a.lastDecrease = now
	a.set(a.limit * factor)
}

// set clamps and publishes the limit; the caller holds mu.
func (a *Adaptive) set(limit float64) {
	a.limit = max(min(minLimit, a.maxLimit), min(limit, a.maxLimit))
	a.current.Store(int64(a.limit))
}

// Baseline estimates the uncongested latency of one kind of request: the lowest batch mean of
// the current and the previous window. Means keep normal variation from looking like
// congestion.
type Baseline struct {
	mu                sync.Mutex
	windowStart       time.Time
	current, previous time.Duration // lowest mean of this window and of the one before
	sum               time.Duration
	n                 int
}

const (
	// baselineWindow is the shortest time for which a lowest mean counts.
	baselineWindow = 30 * time.Second
	baselineBatch  = 16 // samples per mean
)

// Observe adds a latency sample and returns its ratio to the uncongested latency.
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
		return 1 // no complete batch yet
	}
	return float64(d) / float64(max(lowest, minBaseline))
}

// addMean records the mean of a batch; the caller holds mu.
func (b *Baseline) addMean(mean time.Duration, now time.Time) {
	if now.Sub(b.windowStart) > baselineWindow {
		b.previous, b.current, b.windowStart = b.current, 0, now
	}
	if b.current == 0 || mean < b.current {
		b.current = mean
	}
}

// minBaseline is the lowest baseline, so that jitter of very short requests does not look like
// congestion.
const minBaseline = time.Millisecond
