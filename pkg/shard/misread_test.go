package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// longestMisreadLease is how long a misread lease lasts by our clock, granted when its order arrives at the last
// moment, at a worker whose clock is as slow as it may be.
func longestMisreadLease(maxLease time.Duration) time.Duration {
	return pollWait + pollTimeout + slowClock{drift: maxClockDrift}.until(maxLease.Milliseconds())
}

// TestMisreadLeasesEnd guards against a wait that is too short for an order that arrives late at a slow worker.
func TestMisreadLeasesEnd(t *testing.T) {
	const sent = time.Minute
	o := Owner{cfg: Config{MaxLease: 10 * time.Second}}
	qt.Check(t, sent+longestMisreadLease(o.cfg.MaxLease) < o.misreadLeasesEnd(sent), qt.IsTrue)
}

// TestEarlierBootOfFormerOwner guards against a wait that begins while a former owner may still send orders.
func TestEarlierBootOfFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Owner{cfg: Config{MaxLease: 10 * time.Second, Clock: elapsed.New()}, soleOwnerAt: confirmationTTLWithDrift}
		var s session
		o.noteEarlierBoot(&s, 0)
		qt.Check(t, o.soleOwnerAt+longestMisreadLease(o.cfg.MaxLease) < s.misreadUntil, qt.IsTrue)
	})
}

// TestEarlierBoots guards against a wait that forgets what was sent to a boot, or to the one before it, and against one
// that has no end while its worker restarts again and again.
func TestEarlierBoots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Owner{cfg: Config{MaxLease: 10 * time.Second, Clock: elapsed.New()}}
		sent := o.now()
		var next, third session
		time.Sleep(maxOrderDelay / 2)
		o.noteEarlierBoot(&next, sent)
		qt.Check(t, next.misreadUntil, qt.Equals, o.misreadLeasesEnd(o.now()))
		time.Sleep(time.Minute)
		o.noteEarlierBoot(&third, next.deadlineSentAt)
		qt.Check(t, third.misreadUntil, qt.Equals, o.misreadLeasesEnd(sent+maxOrderDelay))
	})
}

// TestAnswerKeepsWait guards against an answer, perhaps of the boot before, that ends the wait for starts under way.
func TestAnswerKeepsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Owner{cfg: Config{MaxLease: 10 * time.Second, Clock: elapsed.New()}}
		var s session
		o.noteMisread(&s, o.now())
		o.settleMisread(&s, o.now())
		qt.Check(t, o.now()+longestMisreadLease(o.cfg.MaxLease) < s.misreadUntil, qt.IsTrue)
	})
}

// TestFirstAnswerAfterLongSilence guards against a wait that does not count from the first answer of a boot which answers
// after the leases of orders in time have expired: it may have taken a late one before.
func TestFirstAnswerAfterLongSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Owner{cfg: Config{MaxLease: 10 * time.Second, Clock: elapsed.New()}, commitWake: make(chan struct{}, 1)}
		s := session{listed: true}
		o.noteMisread(&s, o.now())
		time.Sleep(s.misreadUntil - o.now())
		o.expireMisread(&s, o.now())
		qt.Check(t, s.mayHaveMisread(o.now()), qt.IsFalse)
		o.record = workerRecord{} // written meanwhile
		o.settleMisread(&s, o.now())
		qt.Check(t, s.misreadUntil, qt.Equals, o.maxLeaseEnd(o.now()))
		qt.Check(t, o.record.changed[partOf(s.worker)], qt.IsTrue)
	})
}

// TestBootAfterEndedOne guards against a session that forgets the deadlines sent to a boot whose session has ended.
func TestBootAfterEndedOne(t *testing.T) {
	const sent = time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nothing is polled
	o := &Owner{
		cfg: Config{MaxLease: 10 * time.Second, Clock: elapsed.New(), ZoneEvacuated: func(string) bool { return false }}, ctx: ctx,
		sessions: map[string]*session{}, currentSessions: map[string]*session{},
		endedBoots: map[string]endedBoot{"w1": {boot: "w1@1", deadlineSentAt: sent}},
	}
	qt.Check(t, o.addSession(platform.WorkerRef{Boot: "w1@2"}, "").deadlineSentAt, qt.Equals, sent)
	o.wg.Wait()
}

// TestUnansweredStartsAfterDeadline guards against a wait that disregards a deadline sent after the start.
func TestUnansweredStartsAfterDeadline(t *testing.T) {
	const sent = time.Minute
	o := Owner{cfg: Config{MaxLease: 10 * time.Second}}
	start := &workerAttempt{Attempt: &jobs.Attempt{}, sentAt: sent}
	s := &session{deadlineSentAt: sent + time.Second, attempts: map[string]*workerAttempt{"t": start}}
	s.ref.Boot = "w@1"
	qt.Check(t, s.deadlineSentAt+longestMisreadLease(o.cfg.MaxLease) < o.misreadStartsEnd(s), qt.IsTrue)
	start.startConfirmedAt = sent
	qt.Check(t, o.misreadStartsEnd(s), qt.Equals, time.Duration(0), qt.Commentf("its boot has answered"))
}

// TestMisreadLeft checks that the wait of the owner that has released a shard goes on, but not a wait of another term or
// one that no owner writes.
func TestMisreadLeft(t *testing.T) {
	const term = 4
	for name, tc := range map[string]struct {
		w     leasedWorker
		state misreadState
		wait  time.Duration // the longest if negative
	}{
		"released with time left":  {leasedWorker{Misread: storedMisreadLikely, MisreadTerm: term - 1, MisreadLeft: 3 * time.Second}, misreadLikely, maxLocalDuration(3 * time.Second)},
		"released with none left":  {leasedWorker{Misread: storedMisreadNone, MisreadTerm: term - 1}, misreadNone, 0},
		"released a term before":   {leasedWorker{Misread: storedMisreadLikely, MisreadTerm: term - 2, MisreadLeft: time.Second}, misreadLikely, -1},
		"none left, a term before": {leasedWorker{Misread: storedMisreadNone, MisreadTerm: term - 2}, misreadUnknown, -1},
		"less than none left":      {leasedWorker{Misread: storedMisreadLikely, MisreadTerm: term - 1, MisreadLeft: -time.Hour}, misreadLikely, -1},
		"years left":               {leasedWorker{Misread: storedMisreadLikely, MisreadTerm: term - 1, MisreadLeft: 1 << 60}, misreadLikely, -1},
		"an earlier version":       {leasedWorker{}, misreadLikely, -1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := Owner{cfg: Config{MaxLease: 10 * time.Second, Clock: elapsed.New()}, claim: Claim{Term: term}}
				o.soleOwnerAt = o.now() + time.Second
				s := session{}
				s.ref.Boot = "w@1"
				o.inheritMisread(&s, tc.w, false)
				want := o.now() + tc.wait // virtual time stands still
				if tc.wait < 0 {
					want = o.misreadLeasesEnd(o.soleOwnerAt)
				}
				if tc.state == misreadNone {
					want = 0
				}
				qt.Check(t, s.misread, qt.Equals, tc.state)
				qt.Check(t, s.misreadUntil, qt.Equals, want)
			})
		})
	}
}
