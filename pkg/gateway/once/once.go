// Package once makes a request with a caller's key run at most once, whichever
// entries its repetitions reach.
//
// A key is claimed in the platform's table before the request is handed on: an
// item that must not exist yet, written with the digest of the body, the entry
// and a token of this claim. Claims that come in together are written in one
// transaction, at most one every [MinCommitInterval], so that the table's write budget holds.
// A lost answer is settled by reading the item back: the claim is this one's if
// the token is. Whoever finds the key claimed never runs the request; the entry
// that ran it answers repetitions with the first answer while it holds it.
//
// While the store does not answer, nothing new can be claimed and requests with
// keys are refused: they do not run, though earlier ones with their keys may
// have, which is what the request path tells their callers. A claim is given back, in one attempt that is
// never repeated, when its request certainly did not run.
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
	// MinCommitInterval is the least time between two transactions of an entry: 10 a second.
	MinCommitInterval = 100 * time.Millisecond
	// maxBatch bounds the claims of one transaction.
	maxBatch = 200
	// maxReadBacks bounds the reads after a lost answer.
	maxReadBacks     = 5
	readBackInterval = 50 * time.Millisecond
	// maxSavedResponses bounds the first answers that an entry keeps for repetitions.
	maxSavedResponses = 4096
	// Lifetime is how long a claim is kept: a repetition after it runs anew.
	Lifetime = 24 * time.Hour
)

// Key names a request that runs at most once.
type Key string

// NewKey returns the key of a caller's key on a route; callers with different
// identities do not meet.
func NewKey(route, caller, key string) Key {
	sum := sha256.Sum256([]byte(route + "\x00" + caller + "\x00" + key))
	return Key(hex.EncodeToString(sum[:16]))
}

// Digest stands for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// claimRecord is an item of the table.
type claimRecord struct {
	Digest string `json:"digest"`
	Entry  string `json:"entry"`
	Token  string `json:"token"`
	AtMs   int64  `json:"at_ms"`
}

// ErrClaimed reports a key that has been claimed before; the request must not run.
type ErrClaimed struct {
	Entry string // that claimed it
}

// Error names the entry.
func (e ErrClaimed) Error() string { return fmt.Sprintf("the key was taken by entry %s", e.Entry) }

// ErrBodyMismatch reports a key that was claimed with another body.
type ErrBodyMismatch struct{}

// Error says so.
func (ErrBodyMismatch) Error() string { return "the key belongs to a request with another body" }

// ErrUnavailable reports a claim that could not be made; the request did not run.
type ErrUnavailable struct {
	Cause error
}

// Error gives the cause.
func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("the key cannot be claimed now: %v", e.Cause)
}

// Response is a first answer, kept for repetitions.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claims is one entry's claims.
type Claims struct {
	store  platform.Table
	entry  string
	wakeup chan struct{}

	mu        sync.Mutex
	byKey     map[Key]*Claim // claims of this entry, the latest heldAnswers of them
	finished  []Key
	pending   []*Claim
	toRelease []Key // claims to give back
	closed    bool  // nobody writes claims any more
}

// New returns the book of an entry; Run must be running for claims to be made.
func New(store platform.Table, entry string) *Claims {
	return &Claims{store: store, entry: entry, wakeup: make(chan struct{}, 1), byKey: map[Key]*Claim{}}
}

// Claim is a claim under way or made.
type Claim struct {
	key       Key
	record    claimRecord
	committed chan struct{} // closed when err is set
	err       error
	done      chan struct{} // closed when the request has its outcome
	response  *Response     // nil when none is held
}

// Claim claims a key for a request. It returns a ticket that must be finished
// when the request is to run; or the first answer when this entry ran it; or an error.
func (b *Claims) Claim(ctx context.Context, key Key, digest string) (t *Claim, first *Response, err error) {
	b.mu.Lock()
	if t, ok := b.byKey[key]; ok {
		b.mu.Unlock()
		return b.awaitFirst(ctx, t, digest)
	}
	if b.closed {
		b.mu.Unlock()
		return nil, nil, ErrUnavailable{Cause: errors.New("the entry is ending")}
	}
	t = &Claim{
		key: key, committed: make(chan struct{}), done: make(chan struct{}),
		record: claimRecord{Digest: digest, Entry: b.entry, Token: newToken(), AtMs: time.Now().UnixMilli()},
	}
	b.byKey[key] = t
	b.pending = append(b.pending, t)
	b.mu.Unlock()
	b.wake()
	// The claim goes on when its caller is gone: others may wait for it.
	<-t.committed
	if t.err != nil {
		b.drop(t)
		return nil, nil, t.err
	}
	return t, nil, nil
}

// awaitFirst waits for the first request of a key at this entry.
func (b *Claims) awaitFirst(ctx context.Context, t *Claim, digest string) (*Claim, *Response, error) {
	if t.record.Digest != digest {
		return nil, nil, ErrBodyMismatch{}
	}
	for _, event := range []chan struct{}{t.committed, t.done} {
		select {
		case <-event:
		case <-ctx.Done():
			return nil, nil, ErrClaimed{Entry: b.entry}
		}
		if t.err != nil {
			return nil, nil, t.err
		}
	}
	if t.response == nil {
		return nil, nil, ErrClaimed{Entry: b.entry}
	}
	return nil, t.response, nil
}

// Finish notes that the request of a ticket ran or may have run; answer may be nil.
func (b *Claims) Finish(t *Claim, answer *Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.response = answer
	close(t.done)
	b.finished = append(b.finished, t.key)
	if len(b.finished) > maxSavedResponses {
		delete(b.byKey, b.finished[0])
		b.finished = b.finished[1:]
	}
}

// Release notes that the request of a ticket certainly did not run.
func (b *Claims) Release(t *Claim) {
	b.mu.Lock()
	close(t.done)
	delete(b.byKey, t.key)
	b.toRelease = append(b.toRelease, t.key)
	b.mu.Unlock()
	b.wake()
}

// drop drops a ticket whose claim was not made.
func (b *Claims) drop(t *Claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byKey[t.key] == t {
		delete(b.byKey, t.key)
	}
}

func (b *Claims) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

func newToken() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw) // never fails, it ends the process instead
	return hex.EncodeToString(raw)
}

// Run writes claims until ctx ends; what is pending then is refused.
func (b *Claims) Run(ctx context.Context) error {
	var flushed time.Time
	for {
		select {
		case <-ctx.Done():
			b.rejectPending(ctx.Err())
			return nil
		case <-b.wakeup:
		}
		if wait := MinCommitInterval - time.Since(flushed); wait > 0 {
			select {
			case <-ctx.Done():
				b.rejectPending(ctx.Err())
				return nil
			case <-time.After(wait):
			}
		}
		flushed = time.Now()
		b.flush(ctx)
	}
}

func (b *Claims) rejectPending(cause error) {
	b.mu.Lock()
	pending := b.pending
	b.pending, b.closed = nil, true
	b.mu.Unlock()
	for _, t := range pending {
		t.resolve(ErrUnavailable{Cause: cause})
	}
}

func (t *Claim) resolve(err error) {
	t.err = err
	close(t.committed)
}

// nextBatch returns the next batch and the claims to give back.
func (b *Claims) nextBatch() (batch []*Claim, toRelease []Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(maxBatch, len(b.pending))
	batch, b.pending = b.pending[:n:n], b.pending[n:]
	toRelease, b.toRelease = b.toRelease, nil
	if len(b.pending) > 0 {
		b.wake()
	}
	return batch, toRelease
}

// flush writes one batch.
func (b *Claims) flush(ctx context.Context) {
	batch, toRelease := b.nextBatch()
	if len(toRelease) > 0 {
		b.releaseKeys(ctx, toRelease)
	}
	if len(batch) == 0 {
		return
	}
	err := b.store.Commit(ctx, claimTxn(batch))
	switch {
	case err == nil:
		for _, t := range batch {
			t.resolve(nil)
		}
	case platform.IsConflict(err):
		b.resolveConflicts(ctx, batch)
	case platform.IsUnknown(err):
		for _, t := range batch {
			t.resolve(b.readBack(ctx, t))
		}
	default:
		for _, t := range batch {
			t.resolve(ErrUnavailable{Cause: err})
		}
	}
}

func claimTxn(batch []*Claim) (txn platform.Txn) {
	for _, t := range batch {
		value, err := json.Marshal(t.record)
		if err != nil {
			panic(err) // a claim always encodes
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: keyPrefix + string(t.key)})
		txn.Writes = append(txn.Writes, platform.Write{Key: keyPrefix + string(t.key), Value: value})
	}
	return txn
}

// resolveConflicts finds which keys of a batch were claimed before and tries the others again.
func (b *Claims) resolveConflicts(ctx context.Context, batch []*Claim) {
	var again []*Claim
	for _, t := range batch {
		held, err := b.read(ctx, t.key)
		switch {
		case err != nil:
			t.resolve(ErrUnavailable{Cause: err})
		case held == nil:
			again = append(again, t)
		default:
			t.resolve(checkRecord(held, t))
		}
	}
	b.mu.Lock()
	b.pending = append(again, b.pending...)
	b.mu.Unlock()
	if len(again) > 0 {
		b.wake()
	}
}

// checkRecord judges a claim that is in the table.
func checkRecord(held *claimRecord, t *Claim) error {
	switch {
	case held.Token == t.record.Token:
		return nil
	case held.Digest != t.record.Digest:
		return ErrBodyMismatch{}
	}
	return ErrClaimed{Entry: held.Entry}
}

// readBack settles a claim whose answer was lost. A claim that is not there may
// still arrive; its request is refused, so that it runs nowhere.
func (b *Claims) readBack(ctx context.Context, t *Claim) error {
	var last error
	for range maxReadBacks {
		held, err := b.read(ctx, t.key)
		if err == nil && held != nil {
			return checkRecord(held, t)
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

// read returns a claim, nil when there is none.
func (b *Claims) read(ctx context.Context, key Key) (held *claimRecord, err error) {
	item, err := b.store.Get(ctx, keyPrefix+string(key))
	if err != nil || item.Version == 0 {
		return nil, err
	}
	held = &claimRecord{}
	return held, errors.Wrap(json.Unmarshal(item.Value, held), "decode claim")
}

// releaseKeys gives claims back, once: a second try could releaseKeys somebody else's claim.
func (b *Claims) releaseKeys(ctx context.Context, keys []Key) {
	var txn platform.Txn
	for _, key := range keys {
		txn.Writes = append(txn.Writes, platform.Write{Key: keyPrefix + string(key), Remove: true})
	}
	_ = b.store.Commit(ctx, txn) // a claim that stays only refuses repetitions
}

// Sweep removes claims older than their lifetime, a page at a time; it returns how many.
func (b *Claims) Sweep(ctx context.Context, now time.Time) (removed int, err error) {
	from := keyPrefix
	for {
		items, err := b.store.Scan(ctx, from, keyPrefix+"\xff", maxBatch)
		if err != nil || len(items) == 0 {
			return removed, errors.Wrap(err, "sweep claims")
		}
		var txn platform.Txn
		for _, it := range items {
			var c claimRecord
			if json.Unmarshal(it.Value, &c) == nil && now.Sub(time.UnixMilli(c.AtMs)) > Lifetime {
				txn.Conditions = append(txn.Conditions, platform.Condition{Key: it.Key, Version: it.Version})
				txn.Writes = append(txn.Writes, platform.Write{Key: it.Key, Remove: true})
			}
		}
		if len(txn.Writes) > 0 {
			if err := b.store.Commit(ctx, txn); err != nil {
				return removed, errors.Wrap(err, "sweep claims")
			}
			removed += len(txn.Writes)
		}
		from = items[len(items)-1].Key + "\x00"
	}
}
