package shard

import (
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Bounds of a transaction, below the table service's own of 100 entries and 1 MB.
const (
	maxTxnRows  = 90
	maxTxnBytes = 600_000 // before the encoding of the wire, which adds a third
)

// submission is a job that waits to be kept.
type submission struct {
	id     string
	record jobs.Record
	raw    []byte
	done   chan Outcome // buffered, gets one value
}

// batch is the content of one transaction.
type batch struct {
	submissions []*submission
	jobs        []*jobs.Job
	states      []jobs.State // of jobs, as they are written
	workers     []*session   // that become recorded
	acks        map[*session]int64
	drops       []string
	txn         platform.RowTxn
	seq         int64
}

func (b *batch) empty() bool {
	return len(b.submissions) == 0 && len(b.jobs) == 0 && len(b.workers) == 0 && len(b.acks) == 0 && len(b.drops) == 0
}

// nextBatch takes what waits to be written, as much as fits.
func (o *Owner) nextBatch() (b *batch, err error) {
	b = &batch{acks: map[*session]int64{}, seq: o.seq + 1}
	size := 0
	room := func() bool { return len(b.txn.Put)+len(b.txn.Remove) < maxTxnRows && size < maxTxnBytes }
	put := func(key platform.RowKey, raw []byte) {
		b.txn.Put = append(b.txn.Put, platform.Row{RowKey: key, Value: raw})
		size += len(raw)
	}
	for len(o.queued) > 0 && room() {
		s := o.queued[0]
		o.queued = o.queued[1:]
		b.submissions = append(b.submissions, s)
		put(jobKey(o.pool, s.id), s.raw)
	}
	for j := range o.dirty {
		if !room() {
			break
		}
		p := j.Progress()
		raw, err := p.Encode()
		if err != nil {
			return nil, err
		}
		delete(o.dirty, j)
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.State)
		put(progressKey(o.pool, j.ID), raw)
	}
	for len(o.drops) > 0 && room() {
		id := o.drops[0]
		o.drops = o.drops[1:]
		b.drops = append(b.drops, id)
		b.txn.Remove = append(b.txn.Remove, jobKey(o.pool, id), progressKey(o.pool, id))
	}
	if len(o.dirty) == 0 {
		for _, s := range o.sessions {
			if s.seenEnd > s.ackedEnd {
				b.acks[s] = s.seenEnd
			}
		}
	}
	if o.workersChanged {
		o.workersChanged = false
		if err := o.putWorkers(b, put); err != nil {
			return nil, err
		}
	}
	o.urgent = len(o.queued) > 0
	if len(b.txn.Put) == 0 && len(b.txn.Remove) == 0 {
		// Ends that changed nothing need no row.
		o.acknowledge(b)
		b.acks = nil
		return b, nil
	}
	raw, err := encode(commitRow{Entry: o.self.Entry, Start: o.self.Start, Term: o.term, Seq: b.seq})
	if err != nil {
		return nil, err
	}
	put(commitKey(o.pool), raw)
	b.txn.Expect = []platform.Row{{RowKey: commitKey(o.pool), Version: o.chain}}
	return b, nil
}

func (o *Owner) putWorkers(b *batch, put func(platform.RowKey, []byte)) error {
	var set []leasedWorker
	for _, s := range o.sessions {
		if s.gone || s.cordonedTo > o.now() && s.idle() {
			continue // it cannot hold a lease
		}
		set = append(set, leasedWorker{Boot: s.ref.Boot, VM: s.vm, Address: s.ref.Address})
		if !s.recorded {
			b.workers = append(b.workers, s)
		}
	}
	raw, err := encode(set)
	if err != nil {
		return err
	}
	put(workersKey(o.pool), raw)
	return nil
}

// batchKept applies a transaction that happened.
func (o *Owner) batchKept(b *batch, version int64) {
	o.chain, o.seq = version, b.seq
	now := o.now()
	for _, s := range b.submissions {
		delete(o.pending, s.id)
		o.book.Add(s.id, s.record, now)
		o.metrics.Job("accepted")
		s.done <- schema.CallOutcomeOk
	}
	for i, j := range b.jobs {
		if b.states[i].Final() {
			j.Kept = b.states[i]
			o.finals = append(o.finals, finalJob{id: j.ID, at: now})
		}
		o.answerWaiters(j)
	}
	for _, s := range b.workers {
		s.recorded = true
		s.kick()
	}
	o.acknowledge(b)
	o.kickPlacement()
}

func (o *Owner) acknowledge(b *batch) {
	for s, n := range b.acks {
		s.ackedEnd = max(s.ackedEnd, n)
		s.kick()
	}
}

// batchFailed undoes a batch that did not happen, or whose outcome stays unknown because the shard is given up.
func (o *Owner) batchFailed(b *batch, err error) {
	var notDone platform.ErrNotDone
	outcome := schema.CallOutcomeUnknown
	if errors.As(err, &notDone) {
		outcome = schema.CallOutcomeRefused
	}
	for _, s := range b.submissions {
		delete(o.pending, s.id)
		s.done <- outcome
	}
	for _, j := range b.jobs {
		o.dirty[j] = struct{}{}
	}
	o.drops = append(o.drops, b.drops...)
	if len(b.workers) > 0 {
		o.workersChanged = true
	}
	if outcome == schema.CallOutcomeUnknown {
		o.giveUp(err)
		return
	}
	o.refuseQueued()
	time.AfterFunc(retryCommit, o.kickCommit)
}

// refuseQueued answers the submissions that were not yet sent to the table service.
func (o *Owner) refuseQueued() {
	for _, s := range o.queued {
		delete(o.pending, s.id)
		s.done <- schema.CallOutcomeRefused
	}
	o.queued = nil
}
