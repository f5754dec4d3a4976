package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// A worker may start again under its ID, and an order names no more than that: one meant for
// a boot is carried out by the next one, if that is there. The counts of the two have nothing
// to do with each other, and neither have their clocks. So each boot has a session of its own,
// and whatever may have reached a boot under the name of the one before is settled with it.

// answeredBy names the boot that a report is of; one that does not say is taken for the one
// asked. Another one is the next, whatever it says of its start: the worker's clock may have
// been set back.
func (s *session) answeredBy(born int64) string {
	worker, own := platform.SplitBoot(s.ref.Boot)
	if born == 0 || born == own {
		return s.ref.Boot
	}
	return platform.BootOf(worker, born)
}

// startedAfter tells whether boot a of a worker started after boot b of it.
func startedAfter(a, b string) bool {
	_, bornA := platform.SplitBoot(a)
	_, bornB := platform.SplitBoot(b)
	return bornA > bornB
}

// restarted ends the session of a boot whose worker has started again under its ID, and begins
// one of the boot that is there now.
func (o *Owner) restarted(s *session, ref platform.WorkerRef) {
	o.log.Warn().Str("event", "worker_restarted").Str("boot", ref.Boot).Str("before", s.ref.Boot).
		Int64("seen_end", s.ends.applied).Int("attempts", len(s.attempts)).Send()
	next := o.sessions[ref.Boot]
	if next == nil {
		next = o.addSession(ref, s.vm)
	}
	next.token = max(next.token, s.token+1) // orders that are on their way still are void there
	next.earlierLeasesUntil = o.strangeLeasesEnd(o.now())
	o.blame(s)
	o.passAttempts(s, next)
	o.passFormer(s, next)
	o.bootEnded(s, "it has started again under its ID")
}

// passAttempts passes on the attempts of which no report of their boot has told: their starts
// may have reached the next one. The others were lost with it.
func (o *Owner) passAttempts(s, next *session) {
	for name, r := range sortedByKey(s.attempts) {
		if !r.sent() || r.reportedAt > 0 {
			continue
		}
		s.removeAttempt(name)
		if r.lostWithBoot == "" {
			r.lostWithBoot = s.ref.Boot // the loss that was counted, also when a further boot follows
		}
		r.Boot, r.Phase, r.confirmedAt, r.missing = next.ref.Boot, jobs.PhaseInDoubt, 0, false
		next.addAttempt(name, r)
		next.inDoubt = true
	}
}

// passFormer passes on what a former owner may have left, which is at the next boot if it was
// started after the worker was.
func (o *Owner) passFormer(s, next *session) {
	if !s.former.open {
		return
	}
	if !s.synced {
		o.lostUnheard(s)
	}
	left := s.former
	if next.former.open {
		left.complete = left.complete && next.former.complete
		left.from = max(left.from, next.former.from)
		left.tasks = append(left.tasks, next.former.tasks...)
	}
	left.until = next.earlierLeasesUntil
	next.former, s.former = left, former{}
}

// absolve takes back the loss that was counted against a task when its boot ended, since the
// attempt is or was at the next one.
func (o *Owner) absolve(r *workerAttempt) {
	if r.lostWithBoot == "" {
		return
	}
	r.lostWithBoot = ""
	r.Task.SetLosses(r.Task.Losses.WithoutAttempt(r.Number))
	o.keep(r.Task.Step.Job, false)
}

// convict makes sure of the loss that was counted against a task, since its attempt has not
// reached the next boot either.
func (o *Owner) convict(t *jobs.Task, boot string) {
	t.SetLosses(t.Losses.Confirmed(boot))
	o.keep(t.Step.Job, false)
	o.giveUpGuilty(t)
}

// unsettled tells whether an attempt of a task may be at the boot that followed the one it was
// started at.
func (o *Owner) unsettled(t *jobs.Task) bool {
	for _, a := range t.Attempts {
		if r := o.findAttempt(a); r != nil && r.lostWithBoot != "" {
			return true
		}
	}
	return false
}

// strangeLeasesEnd is when leases have run out that were given by the clock of another boot,
// from which they may have come out as long as a worker grants them.
func (o *Owner) strangeLeasesEnd(now time.Duration) time.Duration {
	return now + maxLocalDuration(o.cfg.MaxLease)
}

// fellBack tells whether a clock in the answer to an order that was sent at sentAt is behind
// what this boot's clock must have been then: another boot has answered. It shows that a start
// has reached a later boot before what ends there is acknowledged unseen; without it a task that
// was done is started again where the table service takes 300 ms (TestStartReachesNextBoot).
func (s *session) fellBack(ms int64, sentAt time.Duration) bool {
	if s.clockAt == 0 || sentAt < s.clockAt {
		return false
	}
	passed := float64(sentAt-s.clockAt) / float64(time.Millisecond) * (1 - maxClockDrift)
	return float64(ms) < float64(s.clockMs)+passed-clockRounding
}

// clockRounding is what the rounding of two clocks to milliseconds may hide, in milliseconds.
const clockRounding = 2

// takeClock takes the clock in the answer to an order, if there is one. A clock of 0 is one: taken for
// none, a start that reached the next boot in its first millisecond was not noticed, and its end
// acknowledged unseen (TestStartInFirstMillisecond).
func (o *Owner) takeClock(s *session, ms int64, sentAt time.Duration) {
	if ms == platform.NoClock {
		return
	}
	if s.fellBack(ms, sentAt) {
		o.log.Warn().Str("event", "worker_clock_fell_back").Str("boot", s.ref.Boot).Int64("clock_ms", ms).Int64("before_ms", s.clockMs).
			Dur("age", o.now()-s.clockAt).Send()
		s.markInDoubt()
		return
	}
	s.noteClock(ms, o.now())
}
