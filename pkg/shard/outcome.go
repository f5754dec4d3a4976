package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// batchCommitted applies a batch whose transaction was carried out.
func (o *Owner) batchCommitted(b *batch, version int64) {
	o.commitVersion, o.seq = version, b.seq
	now := o.now()
	for _, s := range b.submissions {
		delete(o.pending, s.id)
		o.registry.Add(s.id, s.record, now)
		o.noteArrival(s.id, &s.record, now)
		o.cfg.Metrics.Job("accepted")
		s.resolve(schema.CallOutcomeOk)
	}
	for i, j := range b.jobs {
		j.MarkLossesPersisted(b.lossesVersions[i])
		o.sendDeferred(j)
		if b.states[i].Final() {
			j.ReportedState = b.states[i]
			o.finalJobs = append(o.finalJobs, finalJob{id: j.ID, at: now})
		}
		o.answerWaiters(j)
	}
	o.record.applyOutcome(b, true)
	for _, s := range b.workers {
		s.requestPoll()
	}
	o.queuesStored(b)
	if b.shares != nil {
		o.accounts.shares.MarkPersisted(*b.shares)
	}
	o.acknowledge(b)
	o.failRefused()
	o.requestPlacement()
}

func (o *Owner) acknowledge(b *batch) {
	for s, n := range b.acks {
		s.markEndsStored(n)
	}
}

// batchFailed undoes a batch that was not carried out, or gives the shard up if that is unknown.
func (o *Owner) batchFailed(b *batch, err error) {
	outcome := schema.CallOutcomeUnknown
	if platform.IsNotDone(err) {
		outcome = schema.CallOutcomeRefused
	}
	for _, s := range b.submissions {
		delete(o.pending, s.id)
		if outcome == schema.CallOutcomeRefused {
			o.noteRefused(s.id, &s.record)
		}
		s.resolve(outcome)
	}
	o.requeue(b)
	if outcome == schema.CallOutcomeUnknown {
		o.giveUp(err)
		return
	}
	o.refuseQueued()
	time.AfterFunc(commitRetryDelay, o.requestCommit)
}

// requeue has the content of a failed batch written again, except for submissions.
func (o *Owner) requeue(b *batch) {
	for _, j := range b.jobs {
		o.dirty[j] = struct{}{}
	}
	o.removals = append(o.removals, b.drops...)
	o.record.applyOutcome(b, false)
	o.accounts.changed = o.accounts.changed || b.shares != nil
}

// refuseQueued refuses the submissions that were not yet sent to the table service.
func (o *Owner) refuseQueued() {
	for _, s := range o.queued {
		delete(o.pending, s.id)
		o.noteRefused(s.id, &s.record)
		s.resolve(schema.CallOutcomeRefused)
	}
	o.queued = nil
}
