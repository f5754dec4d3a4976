package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Bounds of the exponential backoff between attempts.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// ErrOutcomeUnknown reports an edit that may or may not have been committed; committing it
// again with the same ID resolves this.
type ErrOutcomeUnknown struct {
	EditID string
	Cause  error
}

// Error names the edit and the cause.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("it is not known whether edit %s was accepted: %v", e.EditID, e.Cause)
}

// Commit commits an edit and returns its log entry, which has been applied to the replica. It
// retries until ctx ends; the edit's ID prevents a second commit. Errors are those of
// table.Snapshot.Prepare, platform.ErrRefused, platform.ErrNotDone (nothing was written) and
// [ErrOutcomeUnknown].
func (r *Replica) Commit(ctx context.Context, edit *table.Edit) (entry *schema.Entry, err error) {
	defer func() { err = errors.Wrapf(err, "commit edit %s", edit.ID) }()
	select {
	case r.commit <- struct{}{}:
		defer func() { <-r.commit }()
	case <-ctx.Done():
		return nil, platform.ErrNotDone{Op: "commit", Cause: "other edits were under way: " + ctx.Err().Error()}
	}
	var lost error // last error with an unknown outcome
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		entry, err = r.tryCommit(ctx, edit, lost != nil)
		if platform.IsUnknown(err) {
			lost = err
		}
		if err == nil || !isRetryable(err) {
			return entry, err
		}
		if sleepErr := sleepJittered(ctx, wait); sleepErr != nil {
			break
		}
	}
	if lost != nil {
		return nil, ErrOutcomeUnknown{EditID: edit.ID, Cause: lost}
	}
	return nil, err
}

// isRetryable reports whether the commit may be retried after err.
func isRetryable(err error) bool {
	return platform.IsNotDone(err) || platform.IsUnknown(err) || platform.IsConflict(err)
}

// sleepJittered waits for d plus or minus half of it, or until ctx ends.
func sleepJittered(ctx context.Context, d time.Duration) error {
	return pause.For(ctx, d/2+rand.N(d))
}

// tryCommit makes one attempt. If checkEarlier is set, it first looks whether an earlier
// attempt succeeded.
func (r *Replica) tryCommit(ctx context.Context, edit *table.Edit, checkEarlier bool) (entry *schema.Entry, err error) {
	revision, headVersion, err := r.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if err := r.catchUpTo(ctx, revision); err != nil {
		return nil, err
	}
	if checkEarlier || r.Revision() != revision {
		if entry, err := r.findEdit(ctx, edit.ID); entry != nil || err != nil {
			return entry, err
		}
	}
	entry, _, err = r.Snapshot().Prepare(edit, int(time.Now().UnixMilli()))
	if err != nil {
		return r.findEditOr(ctx, edit.ID, err)
	}
	if entry.Revision != revision+1 {
		return nil, platform.ErrNotDone{Op: "commit", Cause: "the table moved on while the edit was checked"}
	}
	err = r.store.Commit(ctx, entryTxn(entry, headVersion, 0))
	if platform.IsConflict(err) {
		oddVersion, readErr := r.oddEntry(ctx, entry.Revision)
		if readErr != nil {
			return nil, readErr
		}
		if oddVersion == 0 {
			return nil, err
		}
		err = r.store.Commit(ctx, entryTxn(entry, headVersion, oddVersion))
	}
	if err != nil {
		return nil, err
	}
	return entry, r.ApplyEntries([]schema.Entry{*entry})
}

// findEditOr returns the log entry of the edit if it was committed before, otherwise err. A
// repeated edit conflicts with its own changes.
func (r *Replica) findEditOr(ctx context.Context, id string, err error) (*schema.Entry, error) {
	entry, findErr := r.findEdit(ctx, id)
	if findErr != nil {
		return nil, findErr
	}
	if entry != nil {
		return entry, nil
	}
	return nil, err
}

// findEdit returns the log entry of a committed edit, nil if there is none.
func (r *Replica) findEdit(ctx context.Context, id string) (entry *schema.Entry, err error) {
	item, err := r.store.Get(ctx, editKey(id))
	if err != nil || item.Version == 0 {
		return nil, errors.Wrap(err, "settle")
	}
	var h head
	if err := json.Unmarshal(item.Value, &h); err != nil {
		return nil, errors.Wrapf(err, "decode item %q", item.Key)
	}
	if err := r.catchUpTo(ctx, h.Revision); err != nil {
		return nil, err
	}
	entries, err := r.History(ctx, h.Revision, 1)
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 || entries[0].EditID != id {
		return nil, errors.Errorf("the log lacks revision %d", h.Revision)
	}
	return &entries[0], nil
}
