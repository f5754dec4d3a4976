package startrate

import (
	"math"
	"time"
)

const (
	// windowLength is the time over which answers are judged.
	windowLength = 250 * time.Millisecond
	// slowAnswer is how long the fastest answer to an order takes at an owner that is
	// at its limit; workers answer within 4 ms, those of another zone included.
	slowAnswer = 60 * time.Millisecond
	// cutFactor is the part of what was answered in a window that is started in the next
	// one, when the answers were slow.
	cutFactor = 0.7
	// growthFactor is by how much the rate grows in a window whose answers were not
	// slow, and rateRecovery where they were quick: after a cut the rate is back
	// from the least to that of a busy pool within 2 s.
	growthFactor   = 1.25
	recoveryFactor = 2
	// fastAnswer is how long the fastest answer takes at an owner that has room.
	fastAnswer = slowAnswer / 3
	// minLostOrders is how many orders have to be without an answer in a window, and
	// none with one, for the owner rather than a worker to be the cause.
	minLostOrders = 8
	// minRate is started a second in any case, so that the limit can be seen to be over.
	minRate = 20
	// liftFactor is how many times what is answered the rate must be to be lifted.
	liftFactor = 4
	// burstTime is the time of which starts may be made at once.
	burstTime = 200 * time.Millisecond
)

// Limiter bounds the starts of an owner while it is at its own limit. The zero value
// bounds nothing.
type Limiter struct {
	limit float64 // starts a second, 0 for no bound
	tokens float64 // starts that may be made at once
	refilledAt,
	windowStart time.Duration // when saved was last reckoned, when the present window began

	window Window // that is not over yet
}

// Observe takes what became of an order.
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

// Spend notes starts that were decided.
func (r *Limiter) Spend(n int) {
	r.tokens -= float64(n)
}

// PerSecond is the bound in starts a second, 0 for none.
func (r *Limiter) PerSecond() float64 { return r.limit }

// AtLimit tells whether the owner is held to a rate.
func (r *Limiter) AtLimit() bool { return r.limit > 0 }

// Available is how many tasks may be started now.
func (r *Limiter) Available(now time.Duration) int {
	if r.limit == 0 {
		return math.MaxInt
	}
	r.tokens = min(r.tokens+r.limit*(now-r.refilledAt).Seconds(), r.limit*burstTime.Seconds())
	r.refilledAt = now
	return int(max(0, r.tokens))
}

// Window is what became of the orders of a time.
type Window struct {
	Fastest  time.Duration // answer, 0 for none
	Answered int
	Lost     int // orders without an answer
}

// Update sees what the window that is over tells and returns it; changed tells
// whether the owner has come to its limit, or has left it.
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

// nextLimit is the bound that follows from a window of some length and the present one.
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
		return limit // nothing is known, or nothing is to be lifted
	}
	growth := growthFactor
	if w.Fastest < fastAnswer {
		growth = recoveryFactor
	}
	if growth*limit > liftFactor*max(answered, minRate) {
		return 0
	}
	return growth * limit
}
