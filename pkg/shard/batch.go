package shard

import (
	"slices"

	"github.com/gannetwell/gannetwell/pkg/allowance"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
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
	states      []jobs.State // of jobs, as they are written
	evidence    []int        // of jobs, what speaks against their tasks as it is written
	workers     []*session   // that become recorded
	record      bool         // parts of the record of leased workers are written
	parts       []int        // those that are
	leased      *[recordParts][]leasedWorker
	shares      *allowance.Row // of accounts' limits, as they are written, nil if they are not
	acks        map[*session]int64
	drops       []dropped
	txn         platform.RowTxn
	size        int // of the values that txn puts, in bytes
	seq         int64
	single      bool // it takes one thing only, to find out what can't be kept
}

// dropped is a job whose rows are to be removed.
type dropped struct {
	id   string
	rows int // of its progress
}

// room tells whether one more row may be put.
func (b *batch) room() bool { return b.fits(nil) }

// fits tells whether some rows more may be put, with one to spare.
func (b *batch) fits(rows [][]byte) bool {
	if b.single && b.things() > 0 {
		return false
	}
	size := b.size
	for _, raw := range rows {
		size += len(raw)
	}
	return len(b.txn.Put)+len(b.txn.Remove)+len(rows) < maxTxnRows && size < maxTxnBytes
}

// things counts what the batch keeps, each of which could be kept without the others.
func (b *batch) things() int {
	n := len(b.submissions) + len(b.jobs) + len(b.drops)
	if b.record {
		n++
	}
	if b.shares != nil {
		n++
	}
	return n
}

func (b *batch) put(key platform.RowKey, raw []byte) {
	b.txn.Put = append(b.txn.Put, platform.Row{RowKey: key, Value: raw})
	b.size += len(raw)
}

// empty tells whether there is nothing to write.
func (b *batch) empty() bool { return len(b.txn.Put) == 0 && len(b.txn.Remove) == 0 }

// nextBatch takes what waits to be written, as much as fits; the lock is held.
func (o *Owner) nextBatch() (b *batch, err error) {
	b = &batch{acks: map[*session]int64{}, seq: o.seq + 1, single: o.singleItemTxns > 0}
	o.singleItemTxns = max(0, o.singleItemTxns-1)
	if o.record.dirty {
		// Before the jobs: without its row in the record a worker gets no tasks.
		if err := o.putWorkers(b); err != nil {
			return nil, err
		}
	}
	o.putSubmissions(b)
	o.putProgress(b)
	o.removeForgotten(b)
	o.noteAcks(b)
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
	raw, err := encode(commitRow{Entry: o.cfg.Self.Entry, Start: o.cfg.Self.Start, Term: o.claim.Term, Seq: b.seq, Alone: o.now() >= o.soleOwnerAt})
	if err != nil {
		return nil, err
	}
	b.put(commitKey(o.cfg.Pool), raw)
	b.txn.Expect = []platform.Row{{RowKey: commitKey(o.cfg.Pool), Version: o.commitVersion}}
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
	for len(o.removals) > 0 && b.room() {
		d := o.removals[0]
		o.removals = o.removals[1:]
		b.drops = append(b.drops, d)
		b.txn.Remove = append(b.txn.Remove, jobKey(o.cfg.Pool, d.id))
		b.txn.Remove = append(b.txn.Remove, progressKeys(o.cfg.Pool, d.id, d.rows)...)
	}
}

// noteAcks notes the ends that may be acknowledged once the batch is kept: those
// seen by now, if the batch leaves no changed job for a later one.
func (o *Owner) noteAcks(b *batch) {
	if len(o.dirty)+len(o.refusedProgress) > 0 {
		return
	}
	for _, s := range o.sessions {
		if s.ends.hasUnstored() {
			b.acks[s] = s.ends.applied
		}
	}
}

// putProgress adds the progress of jobs that have changed. A job whose progress can't be kept has
// failed, which can.
func (o *Owner) putProgress(b *batch) {
	for _, j := range byID(o.dirty) {
		if !b.room() {
			break
		}
		rows, err := j.Progress().Encode(o.cfg.MaxRowBytes)
		if err != nil {
			o.failUnkept(j, err)
			rows, err = j.Progress().Encode(o.cfg.MaxRowBytes)
		}
		if err != nil {
			o.log.Error().Str("event", "progress_encode_failed").Str("job", j.ID).Err(err).Send()
			continue
		}
		if !b.fits(rows) {
			break
		}
		delete(o.dirty, j)
		delete(o.refusedProgress, j)
		j.NoteRows(len(rows))
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.State)
		b.evidence = append(b.evidence, j.Evidence())
		for i, key := range progressKeys(o.cfg.Pool, j.ID, len(rows)) {
			b.put(key, rows[i])
		}
	}
}

// failUnkept ends a job whose progress can't be kept: nothing more of it could be told to anybody,
// and what ended of it would run again after the next takeover.
func (o *Owner) failUnkept(j *jobs.Job, cause error) {
	if !o.book.Fail(j) {
		return
	}
	o.cfg.Metrics.Job("not_kept")
	o.log.Error().Str("event", "job_not_kept").Str("job", j.ID).Str("queue", j.Queue).Str("account", j.Account).Err(cause).Send()
	o.jobEnded(j)
}

// putUnheard keeps that a worker was lost before an owner has heard it, for as long as a job
// of that time goes on.
func (o *Owner) putUnheard(b *batch) error {
	if !o.unheardLoss {
		return nil
	}
	if !slices.ContainsFunc(o.book.Active(), func(j *jobs.Job) bool { return j.Restored }) {
		o.unheardLoss = false
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
