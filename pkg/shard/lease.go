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
	// maxClockAge is how old the reading of a worker's clock may be by which a start is leased. The lease
	// is shorter by the drift that the clock may have had since, half a second at most.
	maxClockAge = 25 * time.Second
)

// leasesExpired reports whether all leases at the worker have certainly expired.
func (s *session) leasesExpired(now time.Duration) bool {
	if now < s.earlierLeasesUntil || now < s.misreadUntil {
		return false
	}
	if s.clockAt == 0 {
		return true
	}
	return s.clockAtLeast(now-leaseMargin) > s.leaseUntil
}

// clockAtLeast returns what the worker's clock reads at least at a time, in milliseconds, if it is known.
func (s *session) clockAtLeast(now time.Duration) int64 {
	passed := float64(now-s.clockAt) * (1 - maxClockDrift)
	return s.clockMs + time.Duration(passed).Milliseconds()
}

// clockOutdated reports whether the worker's clock has to be read before another start.
func (s *session) clockOutdated(now time.Duration) bool {
	return s.clockAt > 0 && now-s.clockAt > maxClockAge
}

// extendLease returns the deadline of a lease renewed now, by the worker's clock in
// milliseconds, 0 while that clock is not known. However slow the clock is, the lease lasts no longer
// than maxLocalDuration(leaseDuration) by ours, which a later owner relies on (formerLeasesEnd).
func (s *session) extendLease(now time.Duration) int64 {
	if s.clockAt == 0 {
		return 0
	}
	until := s.clockAtLeast(now) + leaseDuration.Milliseconds()
	s.leaseUntil, s.deadlineSentAt = max(s.leaseUntil, until), now
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
