package replica

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// maxLogEntries is how many entries a replica keeps to pass on; a peer further behind gets a snapshot.
const maxLogEntries = 1024

// Replica is one entry's copy of the table.
type Replica struct {
	store  platform.Table
	notify func(*table.Snapshot, []schema.Entry)

	commit chan struct{} // holds one token while a commit is under way

	mu      sync.Mutex // guards the move to a next revision
	snap    atomic.Pointer[table.Snapshot]
	log     []schema.Entry // the last entries, in order
	changed chan struct{}  // closed at each change
}

// Option changes how a Replica is made.
type Option func(*Replica)

// WithNotify calls f, in order and before any other reader sees it, with each new snapshot.
//
// The entries that led to it are empty when a whole snapshot was adopted.
func WithNotify(f func(*table.Snapshot, []schema.Entry)) Option {
	return func(r *Replica) { r.notify = f }
}

// New returns a replica at revision 0.
func New(store platform.Table, opts ...Option) *Replica {
	r := &Replica{
		store:   store,
		notify:  func(*table.Snapshot, []schema.Entry) {},
		commit:  make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	r.snap.Store(table.Empty())
	for _, o := range opts {
		o(r)
	}
	return r
}

// Snapshot returns the table at the revision in force.
func (r *Replica) Snapshot() *table.Snapshot { return r.snap.Load() }

// Revision returns the revision in force.
func (r *Replica) Revision() int { return r.Snapshot().Revision }

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Offer applies those of the entries that come next; older ones are passed over.
//
// It returns table.ErrGap when entries before the first are missing.
func (r *Replica) Offer(entries []schema.Entry) (err error) {
	defer func() { err = errors.Wrap(err, "offer entries") }()
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.snap.Load()
	var fresh []schema.Entry
	for i := range entries {
		e := &entries[i]
		if e.Revision <= snap.Revision {
			continue
		}
		next, applyErr := snap.Apply(e)
		if applyErr != nil {
			err = applyErr
			break
		}
		snap = next
		fresh = append(fresh, *e)
	}
	if len(fresh) > 0 {
		r.log = append(r.log, fresh...)
		if extra := len(r.log) - maxLogEntries; extra > 0 {
			r.log = append([]schema.Entry(nil), r.log[extra:]...)
		}
		r.publish(snap, fresh)
	}
	return err
}

// Adopt takes a whole snapshot when it is newer; it tells whether it did.
func (r *Replica) Adopt(snap *table.Snapshot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snap.Revision <= r.snap.Load().Revision {
		return false
	}
	r.log = nil
	r.publish(snap, nil)
	return true
}

// publish puts a snapshot in force; the caller holds mu.
func (r *Replica) publish(snap *table.Snapshot, fresh []schema.Entry) {
	r.notify(snap, fresh)
	r.snap.Store(snap)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Since returns up to limit entries after a revision; ok is false when some of them are no longer kept.
func (r *Replica) Since(revision, limit int) (entries []schema.Entry, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have := r.snap.Load().Revision
	if revision >= have {
		return nil, true
	}
	first := have - len(r.log) + 1 // revision of the oldest kept entry
	if revision+1 < first {
		return nil, false
	}
	tail := r.log[revision+1-first:]
	return append(entries, tail[:min(limit, len(tail))]...), true
}
