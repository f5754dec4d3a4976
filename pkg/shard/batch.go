package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/allowance"
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

	waiting int           // calls that wait for the outcome
	settled chan struct{} // closed when the outcome is known
	outcome Outcome       // set before that
}

// settle tells all who wait for the submission what became of it.
func (s *submission) settle(out Outcome) {
	s.outcome = out
	close(s.settled)
}

// batch is the content of one transaction.
type batch struct {
	submissions []*submission
	jobs        []*jobs.Job
	states      []jobs.State   // of jobs, as they are written
	evidence    []int          // of jobs, what speaks against their tasks as it is written
	workers     []*session     // that become recorded
	record      bool           // the record of leased workers is written
	shares      *allowance.Row // of accounts' limits, as they are written, nil if they are not
	acks        map[*session]int64
	drops       []string
	txn         platform.RowTxn
	size        int // of the values that txn puts, in bytes
	seq         int64
}

// room tells whether one more row may be put.
func (b *batch) room() bool {
	return len(b.txn.Put)+len(b.txn.Remove) < maxTxnRows && b.size < maxTxnBytes
}

func (b *batch) put(key platform.RowKey, raw []byte) {
	b.txn.Put = append(b.txn.Put, platform.Row{RowKey: key, Value: raw})
	b.size += len(raw)
}

// empty tells whether there is nothing to write.
func (b *batch) empty() bool { return len(b.txn.Put) == 0 && len(b.txn.Remove) == 0 }

// nextBatch takes what waits to be written, as much as fits; the lock is held.
func (o *Owner) nextBatch() (b *batch, err error) {
	b = &batch{acks: map[*session]int64{}, seq: o.seq + 1}
	o.putSubmissions(b)
	if err := o.putProgress(b); err != nil {
		return nil, err
	}
	o.removeForgotten(b)
	o.noteAcks(b)
	if o.workersChanged {
		o.workersChanged = false
		if err := o.putWorkers(b); err != nil {
			return nil, err
		}
	}
	if err := o.putShares(b); err != nil {
		return nil, err
	}
	o.urgent = len(o.queued) > 0
	if b.empty() {
		// Ends that changed nothing need no row.
		o.acknowledge(b)
		b.acks = nil
		return b, nil
	}
	raw, err := encode(commitRow{Entry: o.cfg.Self.Entry, Start: o.cfg.Self.Start, Term: o.claim.Term, Seq: b.seq, Alone: o.now() >= o.alone})
	if err != nil {
		return nil, err
	}
	b.put(commitKey(o.cfg.Pool), raw)
	b.txn.Expect = []platform.Row{{RowKey: commitKey(o.cfg.Pool), Version: o.chain}}
	return b, nil
}

// putSubmissions adds the jobs that wait to be kept, first come first served.
func (o *Owner) putSubmissions(b *batch) {
	for len(o.queued) > 0 && b.room() {
		s := o.queued[0]
		o.queued = o.queued[1:]
		b.submissions = append(b.submissions, s)
		b.put(jobKey(o.cfg.Pool, s.id), s.raw)
	}
}

// removeForgotten removes the rows of jobs whose retention is over.
func (o *Owner) removeForgotten(b *batch) {
	for len(o.drops) > 0 && b.room() {
		id := o.drops[0]
		o.drops = o.drops[1:]
		b.drops = append(b.drops, id)
		b.txn.Remove = append(b.txn.Remove, jobKey(o.cfg.Pool, id), progressKey(o.cfg.Pool, id))
	}
}

// noteAcks notes the ends that may be acknowledged once the batch is kept: those
// seen by now, if the batch leaves no changed job for a later one.
func (o *Owner) noteAcks(b *batch) {
	if len(o.dirty) > 0 {
		return
	}
	for _, s := range o.sessions {
		if s.ends.open() {
			b.acks[s] = s.ends.counted
		}
	}
}

// putProgress adds the progress of jobs that have changed.
func (o *Owner) putProgress(b *batch) error {
	for _, j := range slices.SortedFunc(maps.Keys(o.dirty), func(a, b *jobs.Job) int { return cmp.Compare(a.ID, b.ID) }) {
		if !b.room() {
			break
		}
		p := j.Progress()
		raw, err := p.Encode()
		if err != nil {
			return err
		}
		delete(o.dirty, j)
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.State)
		b.evidence = append(b.evidence, j.Evidence())
		b.put(progressKey(o.cfg.Pool, j.ID), raw)
	}
	return nil
}

// putWorkers adds the record of workers that may hold a lease.
func (o *Owner) putWorkers(b *batch) error {
	var set []leasedWorker
	for _, s := range o.sessionsInOrder() {
		if s.gone || s.cordonedTo > o.now() && s.idle() {
			continue // it cannot hold a lease
		}
		set = append(set, s.leased())
		if !s.recorded {
			b.workers = append(b.workers, s)
		}
	}
	raw, err := encode(set)
	if err != nil {
		return err
	}
	b.put(workersKey(o.cfg.Pool), raw)
	b.record = true
	return o.putUnheard(b)
}

// putUnheard keeps that a worker was lost before an owner has heard it, for as long as a job
// of that time goes on.
func (o *Owner) putUnheard(b *batch) error {
	if !o.unheard {
		return nil
	}
	if !slices.ContainsFunc(o.book.Active(), func(j *jobs.Job) bool { return j.Restored }) {
		o.unheard = false
		b.txn.Remove = append(b.txn.Remove, unheardRowKey(o.cfg.Pool))
		return nil
	}
	raw, err := encode(unheardRow{Term: o.claim.Term})
	if err != nil {
		return err
	}
	b.put(unheardRowKey(o.cfg.Pool), raw)
	return nil
}

// batchKept applies a transaction that happened.
func (o *Owner) batchKept(b *batch, version int64) {
	o.chain, o.seq = version, b.seq
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
			o.finals = append(o.finals, finalJob{id: j.ID, at: now})
		}
		o.answerWaiters(j)
	}
	for _, s := range b.workers {
		s.recorded = true
		s.kick()
	}
	if b.shares != nil {
		o.accounts.shares.Keep(*b.shares)
	}
	o.acknowledge(b)
	o.kickPlacement()
}

func (o *Owner) acknowledge(b *batch) {
	for s, n := range b.acks {
		s.acknowledge(n)
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
	for _, j := range b.jobs {
		o.dirty[j] = struct{}{}
	}
	o.drops = append(o.drops, b.drops...)
	if b.record {
		o.workersChanged = true
	}
	o.accounts.changed = o.accounts.changed || b.shares != nil
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
		s.settle(schema.CallOutcomeRefused)
	}
	o.queued = nil
}
