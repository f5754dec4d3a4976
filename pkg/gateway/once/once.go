package once

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	keyPrefix = "claim/"
	// MinCommitInterval is the shortest time between two transactions of an entry.
	MinCommitInterval = 100 * time.Millisecond
	// maxBatch is the maximum number of claims in one transaction.
	maxBatch = 200
	// maxReadBacks is the maximum number of reads after a lost response.
	maxReadBacks     = 5
	readBackInterval = 50 * time.Millisecond
	// maxSavedResponses is the maximum number of responses saved for replay.
	maxSavedResponses = 4096
	// Lifetime is how long a claim is kept. A request repeated later runs again.
	Lifetime = 24 * time.Hour
)

// Key identifies a request that runs at most once.
type Key string

// NewKey derives a Key from the route, the caller's identity and the caller's idempotency key.
func NewKey(route, caller, key string) Key {
	sum := sha256.Sum256([]byte(route + "\x00" + caller + "\x00" + key))
	return Key(hex.EncodeToString(sum[:16]))
}

// Digest returns a digest of a request body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// claimRecord is a claim as stored in the table.
type claimRecord struct {
	Digest string `json:"digest"`
	Entry  string `json:"entry"`
	Token  string `json:"token"`
	AtMs   int64  `json:"at_ms"`
}

// ErrClaimed reports a key that was claimed before; the request must not run.
type ErrClaimed struct {
	Entry string // entry that claimed it
}

// Error names the entry that claimed the key.
func (e ErrClaimed) Error() string { return fmt.Sprintf("the key was taken by entry %s", e.Entry) }

// ErrBodyMismatch reports a key that was claimed with another request body.
type ErrBodyMismatch struct{}

// Error states the mismatch.
func (ErrBodyMismatch) Error() string { return "the key belongs to a request with another body" }

// ErrUnavailable reports a key that could not be claimed; the request did not run.
type ErrUnavailable struct {
	Cause error
}

// Error returns the cause.
func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("the key cannot be claimed now: %v", e.Cause)
}

// Response is a response saved for replay.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claims manages the claims of one entry.
type Claims struct {
	store  platform.Table
	entry  string
	wakeup chan struct{}

	mu        sync.Mutex
	byKey     map[Key]*Claim // claims of this entry, the latest maxSavedResponses of them
	finished  []Key
	pending   []*Claim
	toRelease []Key // keys of claims to release
	closed    bool  // Run has ended
}

// New returns the claims of the named entry; store is the table that holds them. Run must be running for keys to be
// claimed.
func New(store platform.Table, entry string) *Claims {
	return &Claims{store: store, entry: entry, wakeup: make(chan struct{}, 1), byKey: map[Key]*Claim{}}
}

// Claim is a claim of one key, pending or committed.
type Claim struct {
	key       Key
	record    claimRecord
	committed chan struct{} // closed when err is set
	err       error
	done      chan struct{} // closed when the request has finished
	response  *Response     // nil if none was saved
}

// Claim claims a key for a request with the given body digest. It returns a claim that the
// caller must pass to Finish or Release, or the saved response of an earlier request at this
// entry, or an [ErrClaimed], [ErrBodyMismatch] or [ErrUnavailable].
func (cs *Claims) Claim(ctx context.Context, key Key, digest string) (c *Claim, first *Response, err error) {
	cs.mu.Lock()
	if c, ok := cs.byKey[key]; ok {
		cs.mu.Unlock()
		return cs.awaitFirst(ctx, c, digest)
	}
	if cs.closed {
		cs.mu.Unlock()
		return nil, nil, ErrUnavailable{Cause: errors.New("the entry is ending")}
	}
	c = &Claim{
		key: key, committed: make(chan struct{}), done: make(chan struct{}),
		record: claimRecord{Digest: digest, Entry: cs.entry, Token: newToken(), AtMs: time.Now().UnixMilli()},
	}
	cs.byKey[key] = c
	cs.pending = append(cs.pending, c)
	cs.mu.Unlock()
	cs.wake()
	// Not cancelled with ctx: other requests may wait for the claim.
	<-c.committed
	if c.err != nil {
		cs.remove(c)
		return nil, nil, c.err
	}
	return c, nil, nil
}

// awaitFirst waits for the earlier request with the same key at this entry.
func (cs *Claims) awaitFirst(ctx context.Context, c *Claim, digest string) (*Claim, *Response, error) {
	if c.record.Digest != digest {
		return nil, nil, ErrBodyMismatch{}
	}
	for _, event := range []chan struct{}{c.committed, c.done} {
		select {
		case <-event:
		case <-ctx.Done():
			return nil, nil, ErrClaimed{Entry: cs.entry}
		}
		if c.err != nil {
			return nil, nil, c.err
		}
	}
	if c.response == nil {
		return nil, nil, ErrClaimed{Entry: cs.entry}
	}
	return nil, c.response, nil
}

// Finish records that the claim's request ran or may have run. resp is saved for replay and may be nil.
func (cs *Claims) Finish(c *Claim, resp *Response) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.response = resp
	close(c.done)
	cs.finished = append(cs.finished, c.key)
	if len(cs.finished) > maxSavedResponses {
		delete(cs.byKey, cs.finished[0])
		cs.finished = cs.finished[1:]
	}
}

// Release releases a claim whose request certainly did not run.
func (cs *Claims) Release(c *Claim) {
	cs.mu.Lock()
	close(c.done)
	delete(cs.byKey, c.key)
	cs.toRelease = append(cs.toRelease, c.key)
	cs.mu.Unlock()
	cs.wake()
}

// remove removes a claim that could not be committed.
func (cs *Claims) remove(c *Claim) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.byKey[c.key] == c {
		delete(cs.byKey, c.key)
	}
}

func (cs *Claims) wake() {
	select {
	case cs.wakeup <- struct{}{}:
	default:
	}
}

func newToken() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw) // never returns an error
	return hex.EncodeToString(raw)
}

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
