package shard

import (
	"slices"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
)

// Limits of a transaction, below those of the table service: 100 rows and 1 MB.
const (
	maxTxnRows  = 90
	maxTxnBytes = 600_000 // before the base64 encoding, which adds a third
)

// submission is a job that waits to be stored.
type submission struct {
	id     string
	record jobs.Record
	raw    []byte

	waiting int           // calls that wait for the outcome
	done    chan struct{} // closed when the outcome is known
	outcome Outcome       // set before done is closed
}

// resolve gives all calls that wait for the submission its outcome.
func (s *submission) resolve(out Outcome) {
	s.outcome = out
	close(s.done)
}

// batch is the content of one transaction.
type batch struct {
	submissions    []*submission
	jobs           []*jobs.Job
	states         []jobs.State                 // of jobs, as written
	lossesVersions []int                        // Job.LossesVersion of jobs, as written
	workers        []*session                   // that become recorded
	record         bool                         // the record of leased workers is written
	parts          []int                        // numbers of the parts of the record that are written
	leased         *[recordParts][]leasedWorker // content of the record
	queues         []queueRow                   // rows of queues as written
	shares         *quota.Row                   // quota shares of accounts as written, nil if unchanged
	acks           map[*session]int64           // number of the last end to acknowledge, by worker
	drops          []expiredJob
	txn            platform.RowTxn
	size           int // bytes of the values in txn.Put
	seq            int64
	single         bool // holds one item only, to find the one that is refused
}

// expiredJob is a job whose rows are to be removed.
type expiredJob struct {
	id   string
	rows int // number of its progress rows
}

// room reports whether one more row fits.
func (b *batch) room() bool { return b.fits(nil) }

// fits reports whether the rows fit, with one row to spare.
func (b *batch) fits(rows [][]byte) bool {
	if b.single && b.itemCount() > 0 {
		return false
	}
	size := b.size
	for _, raw := range rows {
		size += len(raw)
	}
	return len(b.txn.Put)+len(b.txn.Remove)+len(rows) < maxTxnRows && size < maxTxnBytes
}

// itemCount returns the number of items that could be written independently of each other.
func (b *batch) itemCount() int {
	n := len(b.submissions) + len(b.jobs) + len(b.drops) + len(b.queues)
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

// empty reports whether there is nothing to write.
func (b *batch) empty() bool { return len(b.txn.Put) == 0 && len(b.txn.Remove) == 0 }

// nextBatch collects what waits to be written, as much as fits; the lock is held.
func (o *Owner) nextBatch() (b *batch, err error) {
	b = &batch{acks: map[*session]int64{}, seq: o.seq + 1, single: o.singleItemTxns > 0}
	o.singleItemTxns = max(0, o.singleItemTxns-1)
	if o.record.dirty {
		// Workers go first: one that is not recorded gets no tasks.
		if err := o.putWorkers(b); err != nil {
			return nil, err
		}
	}
	o.putSubmissions(b)
	o.putProgress(b)
	o.removeExpired(b)
	o.collectAcks(b)
	if err := o.putShares(b); err != nil {
		return nil, err
	}
	if err := o.putQueues(b); err != nil {
		return nil, err
	}
	o.urgent = len(o.queued) > 0
	if b.empty() {
		// Ends that changed nothing are acknowledged without a transaction.
		o.acknowledge(b)
		b.acks = nil
		return b, nil
	}
	raw, err := encode(commitRow{Entry: o.cfg.Self.Entry, Start: o.cfg.Self.Start, Term: o.claim.Term, Seq: b.seq, SoleOwner: o.now() >= o.soleOwnerAt})
	if err != nil {
		return nil, err
	}
	b.put(commitKey(o.cfg.Pool), raw)
	b.txn.Expect = []platform.Row{{RowKey: commitKey(o.cfg.Pool), Version: o.commitVersion}}
	return b, nil
}

// putSubmissions adds queued submissions in order of arrival.
func (o *Owner) putSubmissions(b *batch) {
	for len(o.queued) > 0 && b.room() {
		s := o.queued[0]
		o.queued = o.queued[1:]
		b.submissions = append(b.submissions, s)
		b.put(jobKey(o.cfg.Pool, s.id), s.raw)
	}
}

// removeExpired removes the rows of jobs whose retention is over.
func (o *Owner) removeExpired(b *batch) {
	for len(o.removals) > 0 && b.room() {
		d := o.removals[0]
		o.removals = o.removals[1:]
		b.drops = append(b.drops, d)
		b.txn.Remove = append(b.txn.Remove, jobKey(o.cfg.Pool, d.id))
		b.txn.Remove = append(b.txn.Remove, progressKeys(o.cfg.Pool, d.id, d.rows)...)
	}
}

// collectAcks collects the ends that may be acknowledged after the commit. There are none if changed
// jobs are left for a later batch.
func (o *Owner) collectAcks(b *batch) {
	if len(o.dirty)+len(o.refusedProgress) > 0 {
		return
	}
	for _, s := range o.sessions {
		if s.ends.hasUnstored() {
			b.acks[s] = s.ends.complete
		}
	}
}

// putProgress adds the progress of changed jobs. A job whose progress can't be encoded fails, and is
// stored as failed.
func (o *Owner) putProgress(b *batch) {
	for _, j := range sortedByID(o.dirty) {
		if !b.room() {
			break
		}
		rows, err := j.Progress().Encode(o.cfg.MaxRowBytes)
		if err != nil {
			o.failUnstorable(j, err)
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
		j.RecordProgressRows(len(rows))
		b.jobs = append(b.jobs, j)
		b.states = append(b.states, j.State)
		b.lossesVersions = append(b.lossesVersions, j.LossesVersion())
		for i, key := range progressKeys(o.cfg.Pool, j.ID, len(rows)) {
			b.put(key, rows[i])
		}
	}
}

// failUnstorable fails a job whose progress can't be stored: no state of it could be reported, and
// its finished tasks would run again after the next takeover.
func (o *Owner) failUnstorable(j *jobs.Job, cause error) {
	if !o.registry.Fail(j) {
		return
	}
	o.cfg.Metrics.Job("not_kept")
	o.log.Error().Str("event", "job_not_kept").Str("job", j.ID).Str("queue", j.Queue).Str("account", j.Account).Err(cause).Send()
	o.jobEnded(j)
}

// putUnreportedLoss stores that a worker of a former owner was lost before it reported to a later
// one, for as long as a restored job is active.
func (o *Owner) putUnreportedLoss(b *batch) error {
	if !o.unreportedLoss {
		return nil
	}
	if !slices.ContainsFunc(o.registry.Active(), func(j *jobs.Job) bool { return j.Restored }) {
		o.unreportedLoss = false
		b.txn.Remove = append(b.txn.Remove, unreportedLossRowKey(o.cfg.Pool))
		return nil
	}
	raw, err := encode(unreportedLossRow{Term: o.claim.Term})
	if err != nil {
		return err
	}
	b.put(unreportedLossRowKey(o.cfg.Pool), raw)
	return nil
}
