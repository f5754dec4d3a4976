package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// batchKept applies a transaction that happened.
func (o *Owner) batchKept(b *batch, version int64) {
	o.commitVersion, o.seq = version, b.seq
	now := o.now()
	for _, s := range b.submissions {
		delete(o.pending, s.id)
		o.book.Add(s.id, s.record, now)
		o.noteArrival(&s.record, now)
		o.cfg.Metrics.Job("accepted")
		s.settle(schema.CallOutcomeOk)
	}
	for i, j := range b.jobs {
		j.KeepEvidence(b.evidence[i])
		o.sendNoted(j)
		if b.states[i].Final() {
			j.Kept = b.states[i]
			o.finalJobs = append(o.finalJobs, finalJob{id: j.ID, at: now})
		}
		o.answerWaiters(j)
	}
	o.record.settle(b, true)
	for _, s := range b.workers {
		s.recorded = true
		s.requestPoll()
	}
	if b.shares != nil {
		o.accounts.shares.Keep(*b.shares)
	}
	o.acknowledge(b)
	o.failSetApart()
	o.kickPlacement()
}

func (o *Owner) acknowledge(b *batch) {
	for s, n := range b.acks {
		s.markEndsStored(n)
	}
}

// batchFailed undoes a batch that did not happen, or whose outcome stays unknown because the shard is given up.
func (o *Owner) batchFailed(b *batch, err error) {
	outcome := schema.CallOutcomeUnknown
	if platform.IsNotDone(err) {
		outcome = schema.CallOutcomeRefused
	}
	for _, s := range b.submissions {
		delete(o.pending, s.id)
		s.settle(outcome)
	}
	o.putBack(b)
	if outcome == schema.CallOutcomeUnknown {
		o.giveUp(err)
		return
	}
	o.refuseQueued()
	time.AfterFunc(retryCommit, o.kickCommit)
}

// putBack has what a batch did not keep written again, submissions apart.
func (o *Owner) putBack(b *batch) {
	for _, j := range b.jobs {
		o.dirty[j] = struct{}{}
	}
	o.removals = append(o.removals, b.drops...)
	o.record.settle(b, false)
	o.accounts.changed = o.accounts.changed || b.shares != nil
}

// refuseQueued answers the submissions that were not yet sent to the table service.
func (o *Owner) refuseQueued() {
	for _, s := range o.queued {
		delete(o.pending, s.id)
		s.settle(schema.CallOutcomeRefused)
	}
	o.queued = nil
}
