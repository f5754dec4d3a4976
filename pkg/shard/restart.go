package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// A worker may restart under the same ID. Orders name the ID only, so an order meant for one boot
// may reach the next, whose end numbers and clock are unrelated. Each boot therefore has a session
// of its own, and attempts that may have reached the next boot are transferred to its session.

// respondingBoot returns the boot that sent a report with the given start time, 0 for none. Any
// other start time than its own means a later boot, since the worker's clock may have been set back.
func (s *session) respondingBoot(bootStart int64) string {
	worker, own := platform.ParseBootID(s.ref.Boot)
	if bootStart == 0 || bootStart == own {
		return s.ref.Boot
	}
	return platform.BootID(worker, bootStart)
}

// startedAfter reports whether boot a of a worker started after boot b.
func startedAfter(a, b string) bool {
	_, startA := platform.ParseBootID(a)
	_, startB := platform.ParseBootID(b)
	return startA > startB
}

// handleRestart ends the session of a boot whose worker has restarted under its ID, and opens one
// for the new boot.
func (o *Owner) handleRestart(s *session, ref platform.WorkerRef) {
	now := o.now()
	o.log.Warn().Str("event", "worker_restarted").Str("boot", ref.Boot).Str("before", s.ref.Boot).
		Int64("seen_end", s.ends.complete).Int("attempts", len(s.attempts)).
		Int64("lease_until", s.leaseUntil).Dur("heard_ago", now-s.clockAt).Send()
	next := o.sessions[ref.Boot]
	if next == nil {
		next = o.addSession(ref, s.vm)
	}
	next.token = max(next.token, s.token+1) // invalidates orders still on their way
	o.noteEarlierBoot(next, s.deadlineSentAt)
	o.countLosses(s)
	o.transferAttempts(s, next)
	o.transferFormer(s, next)
	o.bootEnded(s, "its worker restarted under the same ID")
}

// transferAttempts moves the attempts that no report of their boot has listed to the next boot, which
// their starts may have reached. The other attempts are lost.
func (o *Owner) transferAttempts(s, next *session) {
	for name, r := range sortedByKey(s.attempts) {
		if !r.sent() || r.reportedAt > 0 {
			continue
		}
		s.removeAttempt(name)
		if r.countedLostBoot == "" {
			r.countedLostBoot = s.ref.Boot // the boot of the counted loss, also after further restarts
		}
		r.Boot, r.Phase, r.startConfirmedAt, r.missing = next.ref.Boot, jobs.PhaseInDoubt, 0, false
		next.addAttempt(name, r)
		next.outcomeUnknown = true
	}
}

// transferFormer moves the tasks that former owners may have left to the next boot: they are there
// if they were started after the restart.
func (o *Owner) transferFormer(s, next *session) {
	if !s.former.pending {
		return
	}
	if !s.attemptsKnown {
		o.recordUnreportedLoss(s)
	}
	tasks := s.former
	if next.former.pending {
		tasks.listed = tasks.listed && next.former.listed
		tasks.safeAt = max(tasks.safeAt, next.former.safeAt)
		tasks.names = append(tasks.names, next.former.names...)
	}
	next.former, s.former = tasks, formerTasks{}
}

// retractLoss removes the loss counted against a task when its boot ended, since the attempt is or
// was at the next boot.
func (o *Owner) retractLoss(r *workerAttempt) {
	if r.countedLostBoot == "" {
		return
	}
	r.countedLostBoot = ""
	r.Task.SetLosses(r.Task.Losses.WithoutAttempt(r.Number))
	o.persist(r.Task.Step.Job, false)
}

// confirmLoss marks the loss at a boot as certain, since the attempt has not reached the next boot.
func (o *Owner) confirmLoss(t *jobs.Task, boot string) {
	t.SetLosses(t.Losses.MarkEnded(boot))
	o.persist(t.Step.Job, false)
	o.failIfPoison(t)
}

// mayBeAtNextBoot reports whether an attempt of a task may have reached the boot after the one it
// was started at.
func (o *Owner) mayBeAtNextBoot(t *jobs.Task) bool {
	for _, a := range t.Attempts {
		if r := o.findAttempt(a); r != nil && r.countedLostBoot != "" {
			return true
		}
	}
	return false
}

// clockWentBack reports whether the clock in the answer to an order sent at sentAt is behind what
// this boot's clock must have been then. If so, another boot has answered, and ends must not be
// acknowledged to it by the numbers of this one.
func (s *session) clockWentBack(ms int64, sentAt time.Duration) bool {
	if s.clockAt == 0 {
		return false
	}
	passed := float64(sentAt-s.clockAt) / float64(time.Millisecond)
	if passed > 0 {
		passed *= 1 - maxClockDrift
	}
	return float64(ms) < float64(s.clockMs)+passed-clockRoundingMs
}

// clockRoundingMs allows for the rounding of two clocks to milliseconds.
const clockRoundingMs = 2

// observeClock checks the clock in the answer to an order, if there is one, against that of the boot.
// 0 is a valid clock: that of a boot in its first millisecond.
func (o *Owner) observeClock(s *session, ms int64, sentAt time.Duration) {
	if ms == platform.ClockUnknown {
		return
	}
	if s.clockWentBack(ms, sentAt) {
		o.log.Warn().Str("event", "worker_clock_fell_back").Str("boot", s.ref.Boot).Int64("clock_ms", ms).Int64("before_ms", s.clockMs).
			Dur("age", o.now()-s.clockAt).Send()
		o.noteMisread(s, o.now())
		s.markOutcomeUnknown()
		return
	}
	s.noteClock(ms, o.now())
}
