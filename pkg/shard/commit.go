package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Pace of transactions.
const (
	// gatherEnds is how long ends wait for others before they are kept; ends that
	// are not acknowledged stay at their worker, so waiting loses nothing.
	gatherEnds = 40 * time.Millisecond
	// commitTimeout bounds the tries of one transaction; the service answers in
	// milliseconds, and up to 60 times slower when it is in trouble.
	commitTimeout = 2 * time.Second
	// retryCommit is the pause after a try that failed.
	retryCommit = 150 * time.Millisecond
)

// Outcome tells what became of a call.
type Outcome = schema.CallOutcome

// commitLoop writes batches one after the other until the shard is given up.
func (o *Owner) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.commitWake:
		}
		o.gather(ctx)
		for ctx.Err() == nil && o.commitOnce(ctx) {
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
	switch {
	case platform.IsRefused(err):
		o.batchRefused(b, err)
	case err != nil:
		o.batchFailed(b, err)
	default:
		o.batchKept(b, version)
		return true
	}
	return ctx.Err() == nil && !o.closed
}

// settle carries a transaction out. A try without an answer is repeated, with
// the same content, until its outcome is known: the commit row's version lets
// it happen once only.
func (o *Owner) settle(ctx context.Context, b *batch) (version int64, err error) {
	inDoubt := false
	for {
		t := commitHedged(ctx, o.cfg.Rows, o.cfg.Clock, b.txn, o.commitPace.hedge(), o.noteCommit)
		var conflict platform.ErrConflict
		switch {
		case t.err == nil:
			o.setTrouble(false, nil)
			o.Confirm(t.sentAt)
			return t.version, nil
		case errors.As(t.err, &conflict):
			return o.resolveConflict(conflict, b)
		case platform.IsRefused(t.err):
			return 0, t.err // as every try of it is, so that none before was carried out
		case platform.IsNotDone(t.err):
			o.setTrouble(true, t.err)
			if !inDoubt {
				return 0, t.err
			}
		default:
			inDoubt = true
			o.setTrouble(true, t.err)
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(retryCommit):
		}
	}
}

// noteCommit takes the outcome of one try; only the loop of transactions calls it.
func (o *Owner) noteCommit(took time.Duration, err error) {
	o.cfg.Metrics.Commit(took, err)
	if err == nil {
		o.commitPace.note(took)
	}
}

// resolveConflict tells a transaction of ours that had happened from a takeover by another entry.
func (o *Owner) resolveConflict(conflict platform.ErrConflict, b *batch) (version int64, err error) {
	for _, r := range conflict.Rows {
		if r.RowKey != commitKey(o.cfg.Pool) || r.Version == 0 {
			continue
		}
		var row commitRow
		if err := msgpack.Unmarshal(r.Value, &row); err != nil {
			return 0, errors.Wrap(err, "decode commit row")
		}
		if row.Entry == o.cfg.Self.Entry && row.Start == o.cfg.Self.Start && row.Term == o.claim.Term && row.Seq == b.seq {
			o.setTrouble(false, nil)
			return r.Version, nil
		}
		return 0, ErrNotOwner{Owner: OwnerRow{Entry: row.Entry, Start: row.Start, Term: row.Term}}
	}
	return 0, conflict
}

// setTrouble notes whether the table service carries out transactions.
func (o *Owner) setTrouble(on bool, cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteTrouble(on, cause)
}

// noteTrouble does what setTrouble does; the lock is held.
func (o *Owner) noteTrouble(on bool, cause error) {
	if on == o.commitsFailing {
		return
	}
	o.commitsFailing = on
	if on {
		o.log.Warn().Str("event", "table_service_lost").Err(cause).Send()
		o.refuseQueued()
		return
	}
	o.log.Info().Str("event", "table_service_regained").Send()
}
