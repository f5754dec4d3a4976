package platform

import (
	"context"
	"time"
)

// RowKey identifies one row of the partitioned table service.
type RowKey struct {
	Table     string
	Partition string // a transaction is limited to one partition
	Key       string
}

// DefaultMaxRowBytes bounds a row's value where the settings give no limit.
const DefaultMaxRowBytes = 1 << 16

// Row is one row of the partitioned table service.
type Row struct {
	RowKey
	Value   []byte
	Version int64 // of the transaction that wrote it, 0 for a row that does not exist
	Removed bool  // set only by FollowRows
}

// RowTxn is a set of writes that are applied atomically if every row of Expect still has
// the version given there.
type RowTxn struct {
	Expect []Row // Value is ignored
	Put    []Row // Version is ignored
	Remove []RowKey
}

// RowPage is one page of a listing, or the rows that changed.
type RowPage struct {
	Rows    []Row
	More    bool          // the listing continues after the last row
	Version int64         // latest version of the whole service at the time of the answer
	Now     time.Duration // the service's monotonic clock
}

// ErrConflict reports a transaction that was refused because a row had another version
// than expected.
type ErrConflict struct {
	Rows []Row // the current rows for the keys of Expect
}

// Error returns a fixed text.
func (ErrConflict) Error() string { return "a row has another version than the transaction expects" }

// ErrHistoryGone reports that the service no longer has the changes after a version; the
// caller must list the table again.
type ErrHistoryGone struct{}

// Error returns a fixed text.
func (ErrHistoryGone) Error() string { return "the history of changes no longer reaches back so far" }

// ReadIdleTimeout bounds the time without a received byte while a read waits for its answer.
// It restarts with each byte, so that large answers over slow links still arrive. The time
// for which FollowRows waits for changes does not count.
const ReadIdleTimeout = 700 * time.Millisecond

// Rows is the partitioned table service. Errors are an [ErrConflict], an [ErrHistoryGone],
// an [ErrRefused], an [ErrNotDone] or an [ErrUnknown]; the latter also when a read gets no
// data for [ReadIdleTimeout].
type Rows interface {
	// CommitRows applies a transaction and returns its version.
	CommitRows(ctx context.Context, txn RowTxn) (version int64, err error)
	// ListRows returns a page of a partition's rows with keys >= from, ordered by key.
	ListRows(ctx context.Context, table, partition, from string) (RowPage, error)
	// FollowRows returns the rows of a table that changed after a version; it waits up to
	// wait for the first change.
	FollowRows(ctx context.Context, table string, after int64, wait time.Duration) (RowPage, error)
}

// ListAll calls f for each row of a table's partition, ordered by key. The returned version
// is that of the first page: FollowRows from there reports changes made during the listing.
func ListAll(ctx context.Context, rows Rows, table, partition string, f func(Row)) (version int64, err error) {
	from := ""
	for {
		page, err := rows.ListRows(ctx, table, partition, from)
		if err != nil {
			return 0, err
		}
		if version == 0 {
			version = page.Version
		}
		for _, r := range page.Rows {
			f(r)
		}
		if !page.More || len(page.Rows) == 0 {
			return version, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
