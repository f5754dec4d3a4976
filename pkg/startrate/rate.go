package startrate

import (
	"math"
	"time"
)

const (
	// windowLength is the time over which answers are evaluated.
	windowLength = 250 * time.Millisecond
	// slowAnswer is the fastest answer in a window above which the owner counts as saturated. Workers answer
	// within 4 ms, those in other zones included.
	slowAnswer = 60 * time.Millisecond
	// cutFactor is applied to the rate of answers to get the next limit when answers are slow.
	cutFactor = 0.7
	// growthFactor raises the limit if the fastest answer in a window is not slow, recoveryFactor
	// if it is below fastAnswer: from minRate the limit reaches that of a busy pool within 2 s.
	growthFactor   = 1.25
	recoveryFactor = 2
	// fastAnswer is the fastest answer in a window below which the owner has capacity to spare.
	fastAnswer = slowAnswer / 3
	// minLostOrders is the number of unanswered orders in a window without any answer that shows
	// that the owner and not a worker is the cause.
	minLostOrders = 8
	// minRate is the lowest limit, in starts per second. It lets the owner notice that it has recovered.
	minRate = 20
	// removalFactor is the ratio of the limit to the rate of answers above which the limit is removed.
	removalFactor = 4
	// burstTime is the size of the token bucket, as a time at the limit.
	burstTime = 200 * time.Millisecond
)

// Limiter limits the rate of starts while the owner is saturated. The zero value imposes no limit.
type Limiter struct {
	limit  float64 // starts per second, 0 for none
	tokens float64 // starts that may be made at once
	refilledAt,
	windowStart time.Duration // when tokens were last refilled, when the present window began

	window Window // the present one
}

// Observe records the answer to an order, or that there was none.
func (r *Limiter) Observe(took time.Duration, answered bool) {
	if !answered {
		r.window.Lost++
		return
	}
	r.window.Answered++
	if r.window.Fastest == 0 || took < r.window.Fastest {
		r.window.Fastest = max(took, 1)
	}
}

// Spend takes n starts from the bucket.
func (r *Limiter) Spend(n int) {
	r.tokens -= float64(n)
}

// PerSecond returns the limit in starts per second, 0 for none.
func (r *Limiter) PerSecond() float64 { return r.limit }

// Limiting reports whether a limit is in force.
func (r *Limiter) Limiting() bool { return r.limit > 0 }

// Available returns how many tasks may be started now.
func (r *Limiter) Available(now time.Duration) int {
	if r.limit == 0 {
		return math.MaxInt
	}
	r.tokens = min(r.tokens+r.limit*(now-r.refilledAt).Seconds(), r.limit*burstTime.Seconds())
	r.refilledAt = now
	return int(max(0, r.tokens))
}

// Window counts the answers to orders over a period.
type Window struct {
	Fastest  time.Duration // fastest answer, 0 for none
	Answered int
	Lost     int // orders without an answer
}

// Update sets the limit from the last window if it is over, and returns that window; changed
// reports whether a limit was imposed or removed.
func (r *Limiter) Update(now time.Duration) (w Window, changed bool) {
	if r.windowStart == 0 {
		r.windowStart = now
	}
	length := now - r.windowStart
	if length < windowLength {
		return w, false
	}
	before := r.limit
	w = r.window
	r.limit = w.nextLimit(r.limit, length)
	r.windowStart, r.window = now, Window{}
	if before == 0 && r.limit > 0 {
		r.tokens, r.refilledAt = 0, now
	}
	return w, (before == 0) != (r.limit == 0)
}

// nextLimit returns the limit that follows from a window of the given length and the present limit.
func (w *Window) nextLimit(limit float64, length time.Duration) float64 {
	answered := float64(w.Answered) / length.Seconds()
	switch {
	case w.Fastest > slowAnswer:
		return max(minRate, cutFactor*answered)
	case w.Answered == 0 && w.Lost >= minLostOrders:
		lost := float64(w.Lost) / length.Seconds()
		if limit > 0 {
			lost = min(lost, limit)
		}
		return max(minRate, cutFactor*lost)
	case w.Answered == 0 || limit == 0:
		return limit
	}
	growth := growthFactor
	if w.Fastest < fastAnswer {
		growth = recoveryFactor
	}
	if growth*limit > removalFactor*max(answered, minRate) {
		return 0
	}
	return growth * limit
}
