// Package once makes a request with a caller's key run at most once, whichever
// entries its repetitions reach.
//
// A key is claimed in the platform's table before the request is handed on: an
// item that must not exist yet, written with the digest of the body, the entry
// and a token of this claim. Claims that come in together are written in one
// transaction, at most one every [Gap], so that the table's write budget holds.
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
	prefix = "claim/"
	// Gap is the least time between two transactions of an entry: 10 a second.
	Gap = 100 * time.Millisecond
	// batchSize bounds the claims of one transaction.
	batchSize = 200
	// settleTries bounds the reads after a lost answer.
	settleTries = 5
	settlePause = 50 * time.Millisecond
	// heldAnswers bounds the first answers that an entry keeps for repetitions.
	heldAnswers = 4096
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

// claim is an item of the table.
type claim struct {
	Digest string `json:"digest"`
	Entry  string `json:"entry"`
	Token  string `json:"token"`
	AtMs   int64  `json:"at_ms"`
}

// ErrTaken reports a key that has been claimed before; the request must not run.
type ErrTaken struct {
	Entry string // that claimed it
}

// Error names the entry.
func (e ErrTaken) Error() string { return fmt.Sprintf("the key was taken by entry %s", e.Entry) }

// ErrOtherBody reports a key that was claimed with another body.
type ErrOtherBody struct{}

// Error says so.
func (ErrOtherBody) Error() string { return "the key belongs to a request with another body" }

// ErrUnavailable reports a claim that could not be made; the request did not run.
type ErrUnavailable struct {
	Cause error
}

// Error gives the cause.
func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("the key cannot be claimed now: %v", e.Cause)
}

// Answer is a first answer, kept for repetitions.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Book is one entry's claims.
type Book struct {
	store platform.Table
	entry string
	kick  chan struct{}

	mu      sync.Mutex
	mine    map[Key]*Ticket // claims of this entry, the latest heldAnswers of them
	order   []Key
	pending []*Ticket
	giveUp  []Key // claims to give back
	closed  bool  // nobody writes claims any more
}

// New returns the book of an entry; Run must be running for claims to be made.
func New(store platform.Table, entry string) *Book {
	return &Book{store: store, entry: entry, kick: make(chan struct{}, 1), mine: map[Key]*Ticket{}}
}

// Ticket is a claim under way or made.
type Ticket struct {
	key    Key
	claim  claim
	made   chan struct{} // closed when err is set
	err    error
	done   chan struct{} // closed when the request has its outcome
	answer *Answer       // nil when none is held
}

// Claim claims a key for a request. It returns a ticket that must be finished
// when the request is to run; or the first answer when this entry ran it; or an error.
func (b *Book) Claim(ctx context.Context, key Key, digest string) (t *Ticket, first *Answer, err error) {
	b.mu.Lock()
	if t, ok := b.mine[key]; ok {
		b.mu.Unlock()
		return b.repeated(ctx, t, digest)
	}
	if b.closed {
		b.mu.Unlock()
		return nil, nil, ErrUnavailable{Cause: errors.New("the entry is ending")}
	}
	t = &Ticket{
		key: key, made: make(chan struct{}), done: make(chan struct{}),
		claim: claim{Digest: digest, Entry: b.entry, Token: newToken(), AtMs: time.Now().UnixMilli()},
	}
	b.mine[key] = t
	b.pending = append(b.pending, t)
	b.mu.Unlock()
	b.wake()
	// The claim goes on when its caller is gone: others may wait for it.
	<-t.made
	if t.err != nil {
		b.forget(t)
		return nil, nil, t.err
	}
	return t, nil, nil
}

// repeated waits for the first request of a key at this entry.
func (b *Book) repeated(ctx context.Context, t *Ticket, digest string) (*Ticket, *Answer, error) {
	if t.claim.Digest != digest {
		return nil, nil, ErrOtherBody{}
	}
	for _, event := range []chan struct{}{t.made, t.done} {
		select {
		case <-event:
		case <-ctx.Done():
			return nil, nil, ErrTaken{Entry: b.entry}
		}
		if t.err != nil {
			return nil, nil, t.err
		}
	}
	if t.answer == nil {
		return nil, nil, ErrTaken{Entry: b.entry}
	}
	return nil, t.answer, nil
}

// Finish notes that the request of a ticket ran or may have run; answer may be nil.
func (b *Book) Finish(t *Ticket, answer *Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.answer = answer
	close(t.done)
	b.order = append(b.order, t.key)
	if len(b.order) > heldAnswers {
		delete(b.mine, b.order[0])
		b.order = b.order[1:]
	}
}

// GiveBack notes that the request of a ticket certainly did not run.
func (b *Book) GiveBack(t *Ticket) {
	b.mu.Lock()
	close(t.done)
	delete(b.mine, t.key)
	b.giveUp = append(b.giveUp, t.key)
	b.mu.Unlock()
	b.wake()
}

// forget drops a ticket whose claim was not made.
func (b *Book) forget(t *Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mine[t.key] == t {
		delete(b.mine, t.key)
	}
}

func (b *Book) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

func newToken() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw) // never fails, it ends the process instead
	return hex.EncodeToString(raw)
}

// Run writes claims until ctx ends; what is pending then is refused.
func (b *Book) Run(ctx context.Context) error {
	var flushed time.Time
	for {
		select {
		case <-ctx.Done():
			b.refuseAll(ctx.Err())
			return nil
		case <-b.kick:
		}
		if wait := Gap - time.Since(flushed); wait > 0 {
			select {
			case <-ctx.Done():
				b.refuseAll(ctx.Err())
				return nil
			case <-time.After(wait):
			}
		}
		flushed = time.Now()
		b.flush(ctx)
	}
}

func (b *Book) refuseAll(cause error) {
	b.mu.Lock()
	pending := b.pending
	b.pending, b.closed = nil, true
	b.mu.Unlock()
	for _, t := range pending {
		t.settle(ErrUnavailable{Cause: cause})
	}
}

func (t *Ticket) settle(err error) {
	t.err = err
	close(t.made)
}

// take returns the next batch and the claims to give back.
func (b *Book) take() (batch []*Ticket, giveUp []Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(batchSize, len(b.pending))
	batch, b.pending = b.pending[:n:n], b.pending[n:]
	giveUp, b.giveUp = b.giveUp, nil
	if len(b.pending) > 0 {
		b.wake()
	}
	return batch, giveUp
}

// flush writes one batch.
func (b *Book) flush(ctx context.Context) {
	batch, giveUp := b.take()
	if len(giveUp) > 0 {
		b.remove(ctx, giveUp)
	}
	if len(batch) == 0 {
		return
	}
	err := b.store.Commit(ctx, txnOf(batch))
	switch {
	case err == nil:
		for _, t := range batch {
			t.settle(nil)
		}
	case platform.IsConflict(err):
		b.sort(ctx, batch)
	case platform.IsUnknown(err):
		for _, t := range batch {
			t.settle(b.readBack(ctx, t))
		}
	default:
		for _, t := range batch {
			t.settle(ErrUnavailable{Cause: err})
		}
	}
}

func txnOf(batch []*Ticket) (txn platform.Txn) {
	for _, t := range batch {
		value, err := json.Marshal(t.claim)
		if err != nil {
			panic(err) // a claim always encodes
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: prefix + string(t.key)})
		txn.Writes = append(txn.Writes, platform.Write{Key: prefix + string(t.key), Value: value})
	}
	return txn
}

// sort finds which keys of a batch were claimed before and tries the others again.
func (b *Book) sort(ctx context.Context, batch []*Ticket) {
	var again []*Ticket
	for _, t := range batch {
		held, err := b.read(ctx, t.key)
		switch {
		case err != nil:
			t.settle(ErrUnavailable{Cause: err})
		case held == nil:
			again = append(again, t)
		default:
			t.settle(verdict(held, t))
		}
	}
	b.mu.Lock()
	b.pending = append(again, b.pending...)
	b.mu.Unlock()
	if len(again) > 0 {
		b.wake()
	}
}

// verdict judges a claim that is in the table.
func verdict(held *claim, t *Ticket) error {
	switch {
	case held.Token == t.claim.Token:
		return nil
	case held.Digest != t.claim.Digest:
		return ErrOtherBody{}
	}
	return ErrTaken{Entry: held.Entry}
}

// readBack settles a claim whose answer was lost. A claim that is not there may
// still arrive; its request is refused, so that it runs nowhere.
func (b *Book) readBack(ctx context.Context, t *Ticket) error {
	var last error
	for range settleTries {
		held, err := b.read(ctx, t.key)
		if err == nil && held != nil {
			return verdict(held, t)
		}
		last = errors.New("the answer of the store was lost")
		if err != nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return ErrUnavailable{Cause: ctx.Err()}
		case <-time.After(settlePause):
		}
	}
	return ErrUnavailable{Cause: last}
}

// read returns a claim, nil when there is none.
func (b *Book) read(ctx context.Context, key Key) (held *claim, err error) {
	item, err := b.store.Get(ctx, prefix+string(key))
	if err != nil || item.Version == 0 {
		return nil, err
	}
	held = &claim{}
	return held, errors.Wrap(json.Unmarshal(item.Value, held), "decode claim")
}

// remove gives claims back, once: a second try could remove somebody else's claim.
func (b *Book) remove(ctx context.Context, keys []Key) {
	var txn platform.Txn
	for _, key := range keys {
		txn.Writes = append(txn.Writes, platform.Write{Key: prefix + string(key), Remove: true})
	}
	_ = b.store.Commit(ctx, txn) // a claim that stays only refuses repetitions
}

// Sweep removes claims older than their lifetime, a page at a time; it returns how many.
func (b *Book) Sweep(ctx context.Context, now time.Time) (removed int, err error) {
	from := prefix
	for {
		items, err := b.store.Scan(ctx, from, prefix+"\xff", batchSize)
		if err != nil || len(items) == 0 {
			return removed, errors.Wrap(err, "sweep claims")
		}
		var txn platform.Txn
		for _, it := range items {
			var c claim
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
