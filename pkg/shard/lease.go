package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Durations of leases.
const (
	// leaseDuration must outlast a takeover; tasks of a worker that stops answering wait this
	// long before they start elsewhere.
	leaseDuration = 4 * time.Second
	// maxClockDrift is how much slower than ours a worker's clock may run.
	maxClockDrift = maxClockDriftPerMille / 1000.0
	// maxClockDriftPerMille is maxClockDrift in thousandths.
	maxClockDriftPerMille = 20
	// leaseMargin covers the rounding of clocks to milliseconds and late timers.
	leaseMargin = 150 * time.Millisecond
)

// leasesExpired reports whether all leases at the worker have certainly expired.
func (s *session) leasesExpired(now time.Duration) bool {
	if now < s.earlierLeasesUntil {
		return false
	}
	if s.clockAt == 0 {
		return true
	}
	passed := float64(now-s.clockAt-leaseMargin) * (1 - maxClockDrift)
	return float64(s.clockMs)+passed/float64(time.Millisecond) > float64(s.leaseUntil)
}

// extendLease returns the deadline of a lease renewed now, by the worker's clock in
// milliseconds, 0 while that clock is not known.
func (s *session) extendLease(now time.Duration) int64 {
	if s.clockAt == 0 {
		return 0
	}
	until := s.clockMs + (now - s.clockAt + leaseDuration).Milliseconds()
	s.leaseUntil = max(s.leaseUntil, until)
	return until
}

// noteClock records the worker's clock from an answer.
func (s *session) noteClock(ms int64, now time.Duration) {
	if ms == platform.ClockUnknown || ms < s.clockMs {
		return
	}
	first := s.clockAt == 0
	s.clockMs, s.clockAt = ms, now
	if first {
		s.updateCold()
	}
}

// formerLeasesEnd returns when the leases renewed by former owners have expired.
func (o *Owner) formerLeasesEnd(now time.Duration) time.Duration {
	return now + ConfirmationTTL + maxLocalDuration(leaseDuration)
}

// maxLocalDuration returns how long a lease of a length may last by our clock, with the
// greatest clock drift.
func maxLocalDuration(length time.Duration) time.Duration {
	return time.Duration(float64(length.Nanoseconds())*(1+2*maxClockDrift)) + leaseMargin
}
