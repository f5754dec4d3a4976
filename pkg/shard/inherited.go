package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// formerTasks is what a former owner may have left at a worker. It is resolved when the worker
// reports after safeAt, has ended, or its leases have run out.
type formerTasks struct {
	pending bool
	listed  bool     // no other tasks than names can be there
	names   []string // of tasks

	safeAt    time.Duration // from when on no former owner starts anything there
	leasesEnd time.Duration // when its leases there have run out
}

// inheritWorker tracks what a former owner may have left at a worker that it has recorded. An owner
// that releases the shard by plan lists the tasks that may be there, and only these wait for a report
// of the worker. After a crash any task may be there, since starts are not recorded; a list older
// than the last term is of no use.
func (o *Owner) inheritWorker(s *session, w leasedWorker) {
	s.former = formerTasks{pending: true, safeAt: o.soleOwnerAt, leasesEnd: o.formerLeasesUntil}
	if w.ReleaseTerm > 0 && w.ReleaseTerm == o.claim.Term-1 {
		s.former.listed, s.former.names = true, w.Tasks
	}
	o.formerPending = true
	o.formerAnyTask = o.formerAnyTask || !s.former.listed
	for _, name := range s.former.names {
		if t := o.registry.Task(name); t != nil {
			t.PossibleWorkers++
		}
	}
}

// resolveFormer notes that nothing of a former owner can be at a worker unknown to this owner.
func (o *Owner) resolveFormer(s *session) {
	if !s.former.pending {
		return
	}
	if !s.synced {
		o.recordUnreportedLoss(s)
	}
	for _, name := range s.former.names {
		if t := o.registry.Task(name); t != nil && t.PossibleWorkers > 0 {
			t.PossibleWorkers--
		}
	}
	s.former = formerTasks{}
}

// resolveFormerWorkers updates whether tasks of a former owner may still run somewhere unknown
// to this owner.
func (o *Owner) resolveFormerWorkers() {
	if !o.formerPending {
		return
	}
	now := o.now()
	// Without a readable record, any worker may run any task until the last lease has run out.
	o.recordUnreadable = o.recordUnreadable && now < o.formerLeasesUntil
	o.formerPending, o.formerAnyTask = o.recordUnreadable, o.recordUnreadable
	for _, s := range o.sessionsByBoot() {
		if s.listedAfterFormer() || now >= s.former.leasesEnd {
			o.resolveFormer(s)
		}
		if s.former.pending {
			o.formerPending = true
			o.formerAnyTask = o.formerAnyTask || !s.former.listed
		}
	}
	if !o.formerPending {
		o.finishTakeover()
		o.log.Info().Str("event", "takeover_complete").Dur("after", now-o.tookOverAt).Send()
	}
	o.kickPlacement()
}

// finishTakeover does what waits until all inherited workers have reported or ended.
func (o *Owner) finishTakeover() {
	o.registry.MarkReconciled()
	o.failRestoredPoison()
}

// mayRunElsewhere reports whether a task may be running, or have ended, at a worker that has not
// reported since the takeover.
func (o *Owner) mayRunElsewhere(t *jobs.Task) bool {
	return t.PossibleWorkers > 0 || o.formerAnyTask && t.Step.Job.Restored
}
