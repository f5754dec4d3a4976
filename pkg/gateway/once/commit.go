package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Run commits claims until ctx ends, then rejects pending ones.
func (cs *Claims) Run(ctx context.Context) error {
	var flushed time.Time
	for {
		select {
		case <-ctx.Done():
			cs.rejectPending(ctx.Err())
			return nil
		case <-cs.wakeup:
		}
		if wait := MinCommitInterval - time.Since(flushed); wait > 0 {
			select {
			case <-ctx.Done():
				cs.rejectPending(ctx.Err())
				return nil
			case <-time.After(wait):
			}
		}
		flushed = time.Now()
		cs.flush(ctx)
	}
}

func (cs *Claims) rejectPending(cause error) {
	cs.mu.Lock()
	pending := cs.pending
	cs.pending, cs.closed = nil, true
	cs.mu.Unlock()
	for _, c := range pending {
		c.resolve(ErrUnavailable{Cause: cause})
	}
}

func (c *Claim) resolve(err error) {
	c.err = err
	close(c.committed)
}

// nextBatch returns the next claims to commit and the keys to release.
func (cs *Claims) nextBatch() (batch []*Claim, toRelease []Key) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	n := min(maxBatch, len(cs.pending))
	batch, cs.pending = cs.pending[:n:n], cs.pending[n:]
	toRelease, cs.toRelease = cs.toRelease, nil
	if len(cs.pending) > 0 {
		cs.wake()
	}
	return batch, toRelease
}

// flush commits one batch of claims and releases.
func (cs *Claims) flush(ctx context.Context) {
	batch, toRelease := cs.nextBatch()
	if len(toRelease) > 0 {
		cs.releaseKeys(ctx, toRelease)
	}
	if len(batch) == 0 {
		return
	}
	err := cs.store.Commit(ctx, claimTxn(batch))
	switch {
	case err == nil:
		for _, c := range batch {
			c.resolve(nil)
		}
	case platform.IsConflict(err):
		cs.resolveConflicts(ctx, batch)
	case platform.IsUnknown(err):
		for _, c := range batch {
			c.resolve(cs.readBack(ctx, c))
		}
	default:
		for _, c := range batch {
			c.resolve(ErrUnavailable{Cause: err})
		}
	}
}

func claimTxn(batch []*Claim) (txn platform.Txn) {
	for _, c := range batch {
		value, err := json.Marshal(c.record)
		if err != nil {
			panic(err) // a claimRecord always encodes
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: keyPrefix + string(c.key)})
		txn.Writes = append(txn.Writes, platform.Write{Key: keyPrefix + string(c.key), Value: value})
	}
	return txn
}

// resolveConflicts finds which keys of a batch were claimed before and requeues the others.
func (cs *Claims) resolveConflicts(ctx context.Context, batch []*Claim) {
	var requeued []*Claim
	for _, c := range batch {
		stored, err := cs.read(ctx, c.key)
		switch {
		case err != nil:
			c.resolve(ErrUnavailable{Cause: err})
		case stored == nil:
			requeued = append(requeued, c)
		default:
			c.resolve(checkRecord(stored, c))
		}
	}
	cs.mu.Lock()
	cs.pending = append(requeued, cs.pending...)
	cs.mu.Unlock()
	if len(requeued) > 0 {
		cs.wake()
	}
}

// checkRecord compares a stored claim with c: nil means that c is the stored claim.
func checkRecord(stored *claimRecord, c *Claim) error {
	switch {
	case stored.Token == c.record.Token:
		return nil
	case stored.Digest != c.record.Digest:
		return ErrBodyMismatch{}
	}
	return ErrClaimed{Entry: stored.Entry}
}

// readBack determines whether a claim was committed. If it is not found it may still be
// committed later, so its request is rejected.
func (cs *Claims) readBack(ctx context.Context, c *Claim) error {
	var last error
	for range maxReadBacks {
		stored, err := cs.read(ctx, c.key)
		if err == nil && stored != nil {
			return checkRecord(stored, c)
		}
		last = errors.New("the answer of the store was lost")
		if err != nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return ErrUnavailable{Cause: ctx.Err()}
		case <-time.After(readBackInterval):
		}
	}
	return ErrUnavailable{Cause: last}
}

// read returns the stored claim of a key, nil if there is none.
func (cs *Claims) read(ctx context.Context, key Key) (stored *claimRecord, err error) {
	item, err := cs.store.Get(ctx, keyPrefix+string(key))
	if err != nil || item.Version == 0 {
		return nil, err
	}
	stored = &claimRecord{}
	return stored, errors.Wrap(json.Unmarshal(item.Value, stored), "decode claim")
}

// releaseKeys deletes claims. It is not retried: a retry could delete another request's claim.
func (cs *Claims) releaseKeys(ctx context.Context, keys []Key) {
	var txn platform.Txn
	for _, key := range keys {
		txn.Writes = append(txn.Writes, platform.Write{Key: keyPrefix + string(key), Remove: true})
	}
	_ = cs.store.Commit(ctx, txn) // a claim that remains only rejects repetitions
}

// Sweep deletes claims older than Lifetime, page by page, and returns their number.
func (cs *Claims) Sweep(ctx context.Context, now time.Time) (removed int, err error) {
	from := keyPrefix
	for {
		items, err := cs.store.Scan(ctx, from, keyPrefix+"\xff", maxBatch)
		if err != nil || len(items) == 0 {
			return removed, errors.Wrap(err, "sweep claims")
		}
		var txn platform.Txn
		for _, it := range items {
			var rec claimRecord
			if json.Unmarshal(it.Value, &rec) == nil && now.Sub(time.UnixMilli(rec.AtMs)) > Lifetime {
				txn.Conditions = append(txn.Conditions, platform.Condition{Key: it.Key, Version: it.Version})
				txn.Writes = append(txn.Writes, platform.Write{Key: it.Key, Remove: true})
			}
		}
		if len(txn.Writes) > 0 {
			if err := cs.store.Commit(ctx, txn); err != nil {
				return removed, errors.Wrap(err, "sweep claims")
			}
			removed += len(txn.Writes)
		}
		from = items[len(items)-1].Key + "\x00"
	}
}
