package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// slowClock is a worker's clock that runs slow by a fraction of ours, in milliseconds.
type slowClock struct{ drift float64 }

func (c slowClock) at(now time.Duration) int64 {
	return time.Duration(float64(now) * (1 - c.drift)).Milliseconds()
}

// until returns when the clock shows a time, by ours.
func (c slowClock) until(ms int64) time.Duration {
	return time.Duration(float64(ms) * float64(time.Millisecond) / (1 - c.drift))
}

// TestLeaseLength checks how long leases last by our clock, whatever the age of the reading and the drift of the
// clock: never longer than a later owner waits for their end, and as long as a start needs while no new reading is
// required.
func TestLeaseLength(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		clock := slowClock{drift: rapid.Float64Range(0, maxClockDrift).Draw(t, "drift")}
		readAt := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "read at"))
		age := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age"))
		s := &session{}
		s.noteClock(clock.at(readAt), readAt)
		now := readAt + age
		lasts := clock.until(s.extendLease(now)) - now
		if most := maxLocalDuration(leaseDuration) - leaseMargin; lasts > most {
			t.Fatalf("a lease by a reading of %s ago lasts %s, more than %s", age, lasts, most)
		}
		const shortest = leaseDuration - maxClockAge*maxClockDriftPerMille/1000 - 2*time.Millisecond
		if !s.clockOutdated(now) && lasts < shortest {
			t.Fatalf("a lease by a reading of %s ago lasts %s, less than %s", age, lasts, shortest)
		}
		if expired := now + lasts; s.leasesExpired(expired) {
			t.Fatalf("the lease counts as expired before %s", expired)
		}
	})
}

// TestFormerLeasesEnd checks that a new owner waits for all leases that a former one may have renewed, in the
// worst case: the former one confirmed its ownership at the takeover, its clock and the worker's run slow, and it
// renewed the leases at the last moment.
func TestFormerLeasesEnd(t *testing.T) {
	const tookOver = time.Minute
	var o Owner
	lastRenewal := tookOver + confirmationTTLWithDrift
	worker := slowClock{drift: maxClockDrift}
	for _, age := range []time.Duration{0, time.Second, maxClockAge, 10 * time.Minute} {
		s := &session{}
		s.noteClock(worker.at(lastRenewal-age), lastRenewal-age)
		end := worker.until(s.extendLease(lastRenewal))
		qt.Check(t, end < o.formerLeasesEnd(tookOver), qt.IsTrue, qt.Commentf("age %s: ends at %s, awaited until %s", age, end, o.formerLeasesEnd(tookOver)))
	}
}

// TestSendHeld checks that a start that was dropped while it waited for the worker's clock is not sent.
func TestSendHeld(t *testing.T) {
	kept := &workerAttempt{Attempt: &jobs.Attempt{}}
	s := &session{
		senders: maxOrdersPerWorker, attempts: map[string]*workerAttempt{"kept": kept},
		heldStarts: []heldStart{{task: "kept", attempt: kept}, {task: "dropped", attempt: &workerAttempt{}}},
	}
	new(Owner).sendHeld(s)
	qt.Check(t, s.orders, qt.HasLen, 1)
	qt.Check(t, s.heldStarts, qt.HasLen, 0)
}
