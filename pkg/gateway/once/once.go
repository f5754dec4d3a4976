package once

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
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
