package shard

import (
	"slices"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/quarantine"
)

// deferredStart is a start that waits until its provisional loss is stored.
type deferredStart struct {
	session       *session
	running       *workerAttempt
	lossesVersion int // value of Job.LossesVersion that has to be stored
}

// recordProvisionalLoss records the loss of a worker before a suspected task is started there, so
// that it counts even if this owner is lost with the worker; it reports whether the start has to
// wait until the record is stored. While the table service is down, starts wait only for tasks with an
// early loss, or which may have crashed a worker without a recorded loss.
func (o *Owner) recordProvisionalLoss(s *session, r *workerAttempt) bool {
	t := r.Task
	maybeLost := o.unreportedLoss && t.Step.Job.Restored
	mustWait := maybeLost || t.Restriction() == quarantine.TrialOnly || t.Losses.HasEarly()
	if !maybeLost && !t.Suspect() || o.commitsFailing && !mustWait {
		return false
	}
	t.SetLosses(t.Losses.With(quarantine.Loss{Attempt: r.Number, Boot: s.ref.Boot, Trial: s.inTrial(r), Provisional: true}))
	o.suspects[t] = struct{}{}
	j := t.Step.Job
	o.deferredStarts[j] = append(o.deferredStarts[j], deferredStart{session: s, running: r, lossesVersion: j.LossesVersion()})
	o.persist(j, true)
	return true
}

// sendDeferred sends the deferred starts of a job whose provisional losses are stored.
func (o *Owner) sendDeferred(j *jobs.Job) {
	if len(o.deferredStarts[j]) == 0 {
		return
	}
	o.deferredStarts[j] = slices.DeleteFunc(o.deferredStarts[j], func(n deferredStart) bool {
		if !j.LossesPersisted(n.lossesVersion) {
			return false
		}
		name := n.running.Task.Name()
		if n.session.attempts[name] == n.running {
			o.enqueueStart(n.session, name, n.running)
		}
		return true
	})
	if len(o.deferredStarts[j]) == 0 {
		delete(o.deferredStarts, j)
	}
}

// dropProvisionalLoss removes the provisional loss of an attempt that did not start, or has ended
// while its worker kept running.
func (o *Owner) dropProvisionalLoss(a *jobs.Attempt) {
	t := a.Task
	if !t.Losses.HasProvisional(a.Number) {
		return
	}
	t.SetLosses(t.Losses.WithoutProvisional(a.Number))
	o.persist(t.Step.Job, false)
}

// recordUnreportedLoss records that a worker of former owners was lost before it reported to this one.
// The loss is counted against the tasks known to have been there. If these are not known, every
// restored task may have crashed it, and gets a provisional loss before its next start.
func (o *Owner) recordUnreportedLoss(s *session) {
	if !s.former.listed {
		if !o.unreportedLoss {
			o.unreportedLoss = true
			o.record.markChanged(s.worker) // has it removed from the record
			o.requestCommit()
		}
		return
	}
	for _, name := range s.former.names {
		t := o.registry.Task(name)
		if t == nil || t.Done || t.Step.Job.State.Final() || s.leavesAsPlanned(o.now()) || t.Losses.HasBoot(s.ref.Boot) {
			continue
		}
		// The attempt is unknown; a negative number can't clash with one.
		t.SetLosses(t.Losses.With(quarantine.Loss{Attempt: -o.claim.Term, Boot: s.ref.Boot, Ended: s.ended}))
		o.suspects[t] = struct{}{}
		o.persist(t.Step.Job, false)
	}
}
