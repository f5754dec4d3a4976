package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Leases.
const (
	// leaseDuration outlasts a takeover by another owner, and is what tasks of a
	// worker that falls silent have to wait before they start elsewhere.
	leaseDuration = 4 * time.Second
	// maxClockDrift is how much slower than ours a worker's clock may run.
	maxClockDrift = maxClockDriftPerMille / 1000.0
	// maxClockDriftPerMille is the same in thousandths.
	maxClockDriftPerMille = 20
	// leaseMargin covers the rounding of clocks to milliseconds and late timers.
	leaseMargin = 150 * time.Millisecond
)

// leasesExpired tells whether all leases given there have certainly run out.
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

// extendLease returns the deadline for a renewal sent now, 0 while the worker's clock is not known.
func (s *session) extendLease(now time.Duration) int64 {
	if s.clockAt == 0 {
		return 0
	}
	until := s.clockMs + (now - s.clockAt + leaseDuration).Milliseconds()
	s.leaseUntil = max(s.leaseUntil, until)
	return until
}

// noteClock takes the worker's clock from an answer.
func (s *session) noteClock(ms int64, now time.Duration) {
	if ms != platform.NoClock && ms >= s.clockMs {
		s.clockMs, s.clockAt = ms, now
	}
}

// formerLeasesEnd is when the longest lease of a former owner has run out.
func (o *Owner) formerLeasesEnd(now time.Duration) time.Duration {
	return now + ConfirmedFor + maxLocalDuration(leaseDuration)
}

// maxLocalDuration is how long a lease of a length may run by our clock, whatever the worker's does.
func maxLocalDuration(length time.Duration) time.Duration {
	return time.Duration(float64(length.Nanoseconds())*(1+2*maxClockDrift)) + leaseMargin
}
