package replica

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// maxLogEntries is how many log entries a replica keeps for its peers; a peer further behind
// gets a snapshot.
const maxLogEntries = 1024

// Replica is an entry's copy of the table.
type Replica struct {
	store  platform.Table
	notify func(*table.Snapshot, []schema.Entry)
	logger zerolog.Logger

	commit chan struct{} // semaphore: one commit at a time

	mu      sync.Mutex // serializes changes of the revision
	snap    atomic.Pointer[table.Snapshot]
	log     []schema.Entry // latest log entries, oldest first
	changed chan struct{}  // closed at the next change
}

// Option configures a Replica.
type Option func(*Replica)

// WithNotify calls f with each new snapshot before it becomes visible, in order. The log
// entries that led to it are empty after InstallSnapshot.
func WithNotify(f func(*table.Snapshot, []schema.Entry)) Option {
	return func(r *Replica) { r.notify = f }
}

// WithLogger logs items that can't be read to log.
func WithLogger(log zerolog.Logger) Option { return func(r *Replica) { r.logger = log } }

// New returns a replica at revision 0.
func New(store platform.Table, opts ...Option) *Replica {
	r := &Replica{
		store:   store,
		notify:  func(*table.Snapshot, []schema.Entry) {},
		commit:  make(chan struct{}, 1),
		changed: make(chan struct{}),
		logger:  zerolog.Nop(),
	}
	r.snap.Store(table.Empty())
	for _, o := range opts {
		o(r)
	}
	return r
}

// Snapshot returns the table at the current revision.
func (r *Replica) Snapshot() *table.Snapshot { return r.snap.Load() }

// Revision returns the current revision.
func (r *Replica) Revision() int { return r.Snapshot().Revision }

// Changed returns a channel that is closed at the next change of the revision.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// ApplyEntries applies the log entries that follow the current revision and ignores older ones. It
// returns table.ErrGap if entries in between are missing.
func (r *Replica) ApplyEntries(entries []schema.Entry) (err error) {
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

// InstallSnapshot replaces the table by a snapshot if that is newer and reports whether it did.
func (r *Replica) InstallSnapshot(snap *table.Snapshot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snap.Revision <= r.snap.Load().Revision {
		return false
	}
	r.log = nil
	r.publish(snap, nil)
	return true
}

// publish makes a snapshot current; the caller holds mu.
func (r *Replica) publish(snap *table.Snapshot, fresh []schema.Entry) {
	r.notify(snap, fresh)
	r.snap.Store(snap)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Since returns up to limit log entries after revision; ok is false if some of them are no
// longer kept.
func (r *Replica) Since(revision, limit int) (entries []schema.Entry, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have := r.snap.Load().Revision
	if revision >= have {
		return nil, true
	}
	first := have - len(r.log) + 1 // revision of the oldest entry kept
	if revision+1 < first {
		return nil, false
	}
	tail := r.log[revision+1-first:]
	return append(entries, tail[:min(limit, len(tail))]...), true
}
