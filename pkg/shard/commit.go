package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Bounds of a transaction, below the table service's own of 100 entries and 1 MB.
const (
	maxTxnRows  = 90
	maxTxnBytes = 600_000 // before the encoding of the wire, which adds a third
)

// Pace of transactions.
const (
	// gatherEnds is how long ends wait for others before they are kept; ends that
	// are not acknowledged stay at their worker, so waiting loses nothing.
	gatherEnds = 40 * time.Millisecond
	// commitTimeout bounds one try; the service answers in milliseconds, and up
	// to 60 times slower when it is in trouble.
	commitTimeout = 2 * time.Second
	// retryCommit is the pause after a try that failed.
	retryCommit = 150 * time.Millisecond
)

// submission is a job that waits to be kept.
type submission struct {
	id     string
	record jobs.Record
	raw    []byte
	done   chan Outcome // buffered, gets one value
}

// Outcome tells what became of a call.
type Outcome = schema.CallOutcome

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

// commitLoop writes batches one after the other until the shard is given up.
func (o *Owner) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.commitWake:
		}
		o.gather(ctx)
		for o.commitOnce(ctx) {
		}
	}
}

// gather waits for more ends unless someone waits for what is there.
func (o *Owner) gather(ctx context.Context) {
	o.mu.Lock()
	urgent := o.urgent
	o.mu.Unlock()
	if urgent {
		return
	}
	select {
	case <-ctx.Done():
	case <-o.urgentWake:
	case <-time.After(gatherEnds):
	}
}

// commitOnce writes one batch; it reports whether there may be more to write.
func (o *Owner) commitOnce(ctx context.Context) bool {
	o.mu.Lock()
	b, err := o.nextBatch()
	o.committing = err == nil && !b.empty()
	o.mu.Unlock()
	if err != nil {
		o.log.Error().Str("event", "commit_encode_failed").Err(err).Send()
		return false
	}
	if b.empty() {
		return false
	}
	version, err := o.settle(ctx, b)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.committing = false
	if err != nil {
		o.batchFailed(b, err)
		return ctx.Err() == nil && !o.over
	}
	o.batchKept(b, version)
	return true
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
	raw, err := encode(CommitRow{Entry: o.self.Entry, Start: o.self.Start, Term: o.term, Seq: b.seq})
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

// settle carries a transaction out. A try without an answer is repeated, with
// the same content, until its outcome is known: the commit row's version lets
// it happen once only.
func (o *Owner) settle(ctx context.Context, b *batch) (version int64, err error) {
	inDoubt := false
	for {
		started := o.now()
		tryCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		version, err = o.rows.CommitRows(tryCtx, b.txn)
		cancel()
		o.metrics.Commit(o.now()-started, err)
		var conflict platform.ErrConflict
		var notDone platform.ErrNotDone
		switch {
		case err == nil:
			o.setTrouble(false, nil)
			o.Confirm(started)
			return version, nil
		case errors.As(err, &conflict):
			return o.resolveConflict(conflict, b)
		case errors.As(err, &notDone):
			o.setTrouble(true, err)
			if !inDoubt {
				return 0, err
			}
		default:
			inDoubt = true
			o.setTrouble(true, err)
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(retryCommit):
		}
	}
}

// resolveConflict tells a transaction of ours that had happened from a takeover by another entry.
func (o *Owner) resolveConflict(conflict platform.ErrConflict, b *batch) (version int64, err error) {
	for _, r := range conflict.Rows {
		if r.RowKey != commitKey(o.pool) || r.Version == 0 {
			continue
		}
		var row CommitRow
		if err := msgpack.Unmarshal(r.Value, &row); err != nil {
			return 0, errors.Wrap(err, "decode commit row")
		}
		if row.Entry == o.self.Entry && row.Start == o.self.Start && row.Term == o.term && row.Seq == b.seq {
			o.setTrouble(false, nil)
			return r.Version, nil
		}
		return 0, ErrNotOwner{Owner: OwnerRow{Entry: row.Entry, Start: row.Start, Term: row.Term}}
	}
	return 0, conflict
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

// setTrouble notes whether the table service carries out transactions.
func (o *Owner) setTrouble(on bool, cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteTrouble(on, cause)
}

func (o *Owner) noteTrouble(on bool, cause error) {
	if on == o.troubled {
		return
	}
	o.troubled = on
	if on {
		o.log.Warn().Str("event", "table_service_lost").Err(cause).Send()
		o.refuseQueued()
		return
	}
	o.log.Info().Str("event", "table_service_regained").Send()
}
