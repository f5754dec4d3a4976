package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// formerTasks are the tasks that former owners may have left at a worker. They are known when
// the worker reports after safeAt, has ended, or its leases have expired.
type formerTasks struct {
	pending bool
	listed  bool     // only the tasks in names can be there
	names   []string // of tasks

	safeAt time.Duration // from when on no former owner starts anything there
}

// inheritWorker tracks the tasks that former owners may have left at a recorded worker. A planned
// release lists them, and only the listed tasks wait for a report of the worker. Otherwise any task
// may be there. A list is used only if the predecessor wrote it, since starts are not recorded.
func (o *Owner) inheritWorker(s *session, w leasedWorker) {
	s.former = formerTasks{pending: true, safeAt: o.soleOwnerAt}
	released := w.ReleaseTerm > 0 && w.ReleaseTerm == o.claim.Term-1
	if released {
		s.former.listed, s.former.names = true, w.Tasks
	}
	o.inheritMisread(s, w, released)
	o.log.Info().Str("event", "worker_inherited").Str("boot", w.Boot).Int64("release_term", w.ReleaseTerm).Int("tasks", len(w.Tasks)).
		Dur("leases_end_in", max(s.earlierLeasesUntil, s.misreadUntil)-o.now()).Send()
	o.formerWorkersPending = true
	o.formerTasksUnknown = o.formerTasksUnknown || !s.former.listed
	for _, name := range s.former.names {
		if t := o.registry.Task(name); t != nil {
			t.PossibleWorkers++
		}
	}
}

// resolveFormer records that no task unknown to this owner can be at a worker.
func (o *Owner) resolveFormer(s *session) {
	if !s.former.pending {
		return
	}
	if !s.attemptsKnown {
		o.recordUnreportedLoss(s)
	}
	for _, name := range s.former.names {
		if t := o.registry.Task(name); t != nil && t.PossibleWorkers > 0 {
			t.PossibleWorkers--
		}
	}
	s.former = formerTasks{}
}

// resolveFormerWorkers resolves the workers of former owners that have reported or whose leases
// have expired, and completes the takeover after the last one.
func (o *Owner) resolveFormerWorkers() {
	if !o.formerWorkersPending {
		return
	}
	now := o.now()
	// Without a readable record, any worker may run any task until the last lease has expired.
	o.recordUnreadable = o.recordUnreadable && now < o.unrecordedLeasesEnd()
	o.formerWorkersPending, o.formerTasksUnknown = o.recordUnreadable, o.recordUnreadable
	for _, s := range o.sessionsByBoot() {
		if s.listedAll() || s.formerLeasesExpired(now) {
			o.resolveFormer(s)
		}
		if s.former.pending {
			o.formerWorkersPending = true
			o.formerTasksUnknown = o.formerTasksUnknown || !s.former.listed
		}
	}
	if !o.formerWorkersPending {
		o.finishTakeover()
		o.log.Info().Str("event", "takeover_complete").Dur("after", now-o.tookOverAt).Send()
	}
	o.requestPlacement()
}

// formerLeasesExpired reports whether a worker that does not answer has certainly ended whatever former
// owners have left there. The leases of one that answers are renewed.
func (s *session) formerLeasesExpired(now time.Duration) bool {
	return s.unansweredCalls > 0 && s.leasesExpired(now)
}

// finishTakeover does what has to wait until all workers of former owners are resolved.
func (o *Owner) finishTakeover() {
	if o.cfg.StopTime > 0 {
		// Workers that have answered this owner refuse the orders of former ones.
		o.formerStopsEndAt = o.now() + o.cfg.StopTime + stopReportTime
	}
	o.registry.MarkAllReported()
	o.failRestoredPoison()
}

// mayRunAtPendingWorker reports whether a former owner may have started a task at a worker that has not
// reported since the takeover.
func (o *Owner) mayRunAtPendingWorker(t *jobs.Task) bool {
	return t.PossibleWorkers > 0 || o.formerTasksUnknown && t.Step.Job.Restored
}
