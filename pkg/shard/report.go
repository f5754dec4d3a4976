package shard

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// applyReport applies the report that answers a poll sent at sentAt.
func (o *Owner) applyReport(s *session, r *platform.WorkerReport, sentAt time.Duration) {
	if r.Draining && !s.draining {
		o.log.Info().Str("event", "worker_draining").Str("boot", s.ref.Boot).Dur("remaining", r.Remaining).Send()
	}
	now := o.now()
	if r.Draining {
		s.noteDraining(now, r.Remaining)
	}
	o.applyEnds(s, r.Ended, now)
	if s.ends.hasUnstored() {
		// An end that changes no job is acknowledged only after a commit has run, which
		// nothing else would request.
		o.requestCommit()
	}
	named := make(map[string]bool, len(r.Running)+len(r.Ended))
	for i := range r.Ended {
		named[r.Ended[i].Task] = true
	}
	for i := range r.Running {
		named[r.Running[i].Task] = true
		o.applyRunning(s, &r.Running[i], now)
	}
	s.forgetUnlistedForeign(r, sentAt)
	o.adjustThrottles(s, now)
	o.noteMoreEnds(s, r)
	o.dropVanished(s, named, sentAt)
}

// noteMoreEnds records whether a report may lack ends. While it may, an attempt that it does not name may
// have ended as done.
func (o *Owner) noteMoreEnds(s *session, r *platform.WorkerReport) {
	if r.MoreEnds {
		o.cfg.Metrics.EndsCut()
	}
	if r.MoreEnds != s.moreEnds {
		o.log.Info().Str("event", "ends_cut").Str("boot", s.ref.Boot).Bool("cut", r.MoreEnds).Int("listed", len(r.Ended)).
			Int("running", len(r.Running)).Int("attempts", len(s.attempts)).Int64("stored", s.ends.stored).Send()
	}
	s.moreEnds = r.MoreEnds
}

// dropVanished drops the attempts that are gone without an end; named are the tasks in the report that
// answers a poll sent at sentAt.
func (o *Owner) dropVanished(s *session, named map[string]bool, sentAt time.Duration) {
	var gone []string
	for name, a := range s.attempts {
		if a.gone(named[name], s.moreEnds, sentAt) {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	for _, name := range gone {
		a := s.attempts[name]
		if a.startConfirmedAt == 0 {
			o.dropUnstarted(s, name, sentAt)
			continue
		}
		o.cfg.Metrics.AttemptLost(LossVanished)
		o.log.Warn().Str("event", "attempt_vanished").Str("task", name).Int64("attempt", a.Number).Str("boot", s.ref.Boot).Send()
		o.dropAttempt(s, name)
	}
}

// gone reports whether an attempt is gone, after a report that answers a poll sent at sentAt and was
// applied: two reports in a row lack it, or one if its start can't be carried out any more. Two are needed
// all the same if the start may have reached the next boot. A report that may lack ends proves nothing.
func (r *workerAttempt) gone(named, moreEnds bool, sentAt time.Duration) bool {
	switch {
	case moreEnds:
		r.missing = false
		return false
	case r.startConfirmedAt == 0:
		return r.excludedBoot == r.Boot && (r.countedLostBoot == "" || r.markMissing())
	case named:
		r.missing = false
		return false
	default:
		return r.startConfirmedAt < sentAt && r.markMissing()
	}
}

func (o *Owner) applyRunning(s *session, r *platform.RunningAttempt, now time.Duration) {
	a := s.attempts[r.Task]
	if a == nil || a.Number != r.Attempt {
		a = o.adoptOrStop(s, r, now)
		if a == nil {
			return
		}
	}
	if r.Percent > a.Percent {
		a.ProgressAt = now
	}
	a.Percent, a.Load, a.reportedAt = r.Percent, r.Load, now
	if r.Checkpoint != "" {
		a.Checkpoint = r.Checkpoint
	}
	o.confirmAttempt(s, a, now)
}

// applyEnds applies the ends of a report, also those behind a gap in their numbers. Only their
// acknowledgement waits for the missing ones.
func (o *Owner) applyEnds(s *session, listed []platform.AttemptEnd, now time.Duration) {
	unapplied := s.ends.unapplied(listed)
	ready, missing := s.ends.countable(listed)
	if missing > 0 {
		o.log.Debug().Str("event", "end_missing").Str("boot", s.ref.Boot).Int64("end", missing).Int64("listed", s.ends.behindGap[0].Seq).Send()
	}
	for i := range ready {
		e := &ready[i]
		switch {
		case e.Seq > s.ends.complete:
			s.ends.markComplete(e.Seq, e.Task)
		case e.Seq <= s.ends.stored:
			o.noteStaleEnd(s, e)
		}
	}
	for i := range unapplied {
		o.applyEnd(s, &unapplied[i], now)
	}
}

// applyEnd applies one reported end.
func (o *Owner) applyEnd(s *session, e *platform.AttemptEnd, now time.Duration) {
	t := o.registry.Task(e.Task)
	a := s.attempts[e.Task]
	s.forgetForeign(foreignKey{task: e.Task, number: e.Attempt})
	o.cfg.Metrics.End(e.Reason)
	ev := o.log.Info().Str("event", "attempt_ended").Str("task", e.Task).Int64("attempt", e.Attempt).
		Str("boot", s.ref.Boot).Int64("end", e.Seq).Str("reason", string(e.Reason))
	if t == nil {
		ev.Bool("known", false).Send()
		return
	}
	var attempt *jobs.Attempt
	if a != nil && a.Number == e.Attempt {
		o.retractLoss(a)
		attempt = a.Attempt
		o.dropProvisionalLoss(attempt)
		s.removeAttempt(e.Task)
		if e.Reason == platform.EndDone {
			o.recordDuration(s, a, now)
		}
	}
	s.health.noteEnd(e.Reason, now)
	effect := o.registry.EndAttempt(t, attempt, e.Attempt, e.Reason, e.Checkpoint)
	ev.Str("job_state", string(t.Step.Job.State)).Send()
	if effect.MustPersist {
		o.persist(t.Step.Job, effect.JobEnded)
	}
	for _, surplus := range effect.Surplus {
		o.stopAttempt(surplus, "another copy is done")
	}
	if effect.JobEnded {
		o.jobEnded(t.Step.Job)
	}
}

// noteStaleEnd logs an end that was acknowledged before. The worker has restarted its
// numbering, or the report was overtaken by a later one.
func (o *Owner) noteStaleEnd(s *session, e *platform.AttemptEnd) {
	o.cfg.Metrics.StaleEnd()
	o.log.Warn().Str("event", "end_passed_over").Str("task", e.Task).Int64("attempt", e.Attempt).Str("boot", s.ref.Boot).
		Int64("end", e.Seq).Int64("acknowledged", s.ends.stored).Str("reason", string(e.Reason)).Send()
}

// resolveUnknownStarts drops the attempts whose start got no answer and that the report lacks. The
// poll carried a higher token, so those orders can't be carried out any more. If the report may lack ends,
// the attempts wait for one that lists all.
func (o *Owner) resolveUnknownStarts(s *session, sentAt time.Duration) {
	s.outcomeUnknown = false
	for name, a := range sortedByKey(s.attempts) {
		if a.Phase != jobs.PhaseInDoubt || a.startConfirmedAt > 0 {
			continue
		}
		a.excludedBoot = a.Boot
		switch {
		case s.moreEnds: // a later report decides
		case a.countedLostBoot != "": // the next report decides
			a.missing, s.outcomeUnknown = true, true
		default: // one report is enough, so that the task is not delayed
			o.dropUnstarted(s, name, sentAt)
		}
	}
}

// dropUnstarted drops an attempt whose start was not carried out, as the answer to a poll sent at sentAt
// shows.
func (o *Owner) dropUnstarted(s *session, name string, sentAt time.Duration) {
	o.log.Info().Str("event", "start_settled").Str("task", name).Int64("attempt", s.attempts[name].Number).
		Str("boot", s.ref.Boot).Bool("running", false).Dur("age", o.now()-sentAt).Send()
	o.timeouts.noteLost()
	o.dropAttempt(s, name)
}

// dropAttempt removes an attempt that is not or no longer at the worker.
func (o *Owner) dropAttempt(s *session, name string) {
	if a := s.attempts[name]; a != nil {
		o.dropProvisionalLoss(a.Attempt)
		s.removeAttempt(name)
		if o.registry.RemoveAttempt(a.Attempt) {
			o.persistCheckpoint(s, a.Attempt)
		}
		if a.countedLostBoot != "" {
			o.confirmLoss(a.Task, a.countedLostBoot)
		}
		o.requestPlacement()
	}
}

// keepCheckpoints keeps the checkpoints that a silent worker has reported, in case this owner is lost
// too before the worker answers again.
func (o *Owner) keepCheckpoints(s *session) {
	for _, r := range sortedByKey(s.attempts) {
		if r.Task.KeepCheckpoint(r.Attempt) {
			o.persistCheckpoint(s, r.Attempt)
		}
	}
}

// persistCheckpoint has the checkpoint of a lost attempt persisted, which no worker will report again.
func (o *Owner) persistCheckpoint(s *session, a *jobs.Attempt) {
	o.log.Info().Str("event", "checkpoint_kept").Str("task", a.Task.Name()).Int64("attempt", a.Number).Str("boot", s.ref.Boot).
		Int("percent", a.Percent).Int("bytes", len(a.Checkpoint)).Send()
	o.persist(a.Task.Step.Job, false)
}

// markMissing records that a report lacks an attempt, and reports whether the previous one did
// too: a single report may be incomplete.
func (r *workerAttempt) markMissing() bool {
	before := r.missing
	r.missing = true
	return before
}
