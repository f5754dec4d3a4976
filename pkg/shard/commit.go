package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// batchDelay is how long recorded ends wait for others to share a transaction. Ends that are not
	// acknowledged stay at their worker, so none is lost.
	batchDelay = 40 * time.Millisecond
	// commitTimeout bounds all tries of a transaction. The service answers in milliseconds, and up to 60
	// times slower in trouble.
	commitTimeout = 2 * time.Second
	// commitRetryDelay is the pause after a failed try.
	commitRetryDelay = 150 * time.Millisecond
)

// Outcome is the result of a call to an owner.
type Outcome = schema.CallOutcome

// commitLoop writes one batch after the other until the ownership ends.
func (o *Owner) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.commitWake:
		}
		o.awaitBatch(ctx)
		for ctx.Err() == nil && o.commitOnce(ctx) {
		}
	}
}

// awaitBatch waits for more to write, unless a caller waits for what is there.
func (o *Owner) awaitBatch(ctx context.Context) {
	o.mu.Lock()
	urgent := o.urgent
	o.mu.Unlock()
	if urgent {
		return
	}
	select {
	case <-ctx.Done():
	case <-o.urgentWake:
	case <-time.After(batchDelay):
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
	version, err := o.commitBatch(ctx, b)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.committing = false
	switch {
	case platform.IsRefused(err):
		o.batchRefused(b, err)
	case err != nil:
		o.batchFailed(b, err)
	default:
		o.batchCommitted(b, version)
		return true
	}
	return ctx.Err() == nil && !o.closed
}

// commitBatch carries out the transaction of a batch. A try without an answer is repeated with the
// same content until the outcome is known; the expected version of the commit row makes sure that
// it is carried out at most once.
func (o *Owner) commitBatch(ctx context.Context, b *batch) (version int64, err error) {
	outcomeUnknown := false
	for {
		t := commitHedged(ctx, o.cfg.Rows, o.cfg.Clock, b.txn, o.commitLatency.hedgeDelay(), o.observeCommit)
		var conflict platform.ErrConflict
		switch {
		case t.err == nil:
			o.setCommitsFailing(false, nil)
			o.Confirm(t.sentAt)
			return t.version, nil
		case errors.As(t.err, &conflict):
			return o.resolveConflict(conflict, b)
		case platform.IsRefused(t.err):
			return 0, t.err // the content is refused at every try, so no earlier one was carried out
		case platform.IsNotDone(t.err):
			o.setCommitsFailing(true, t.err)
			if !outcomeUnknown {
				return 0, t.err
			}
		default:
			outcomeUnknown = true
			o.setCommitsFailing(true, t.err)
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(commitRetryDelay):
		}
	}
}

// observeCommit records the duration of one try; only commitLoop calls it.
func (o *Owner) observeCommit(took time.Duration, err error) {
	o.cfg.Metrics.Commit(took, err)
	if err == nil {
		o.commitLatency.observe(took)
	}
}

// resolveConflict tells an earlier try of the same transaction from a takeover by another entry.
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
			o.setCommitsFailing(false, nil)
			return r.Version, nil
		}
		return 0, ErrNotOwner{Owner: OwnerRow{Entry: row.Entry, Start: row.Start, Term: row.Term}}
	}
	return 0, conflict
}

// setCommitsFailing records whether the table service fails transactions.
func (o *Owner) setCommitsFailing(on bool, cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setCommitsFailingLocked(on, cause)
}

// setCommitsFailingLocked does what setCommitsFailing does; the lock is held.
func (o *Owner) setCommitsFailingLocked(on bool, cause error) {
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
