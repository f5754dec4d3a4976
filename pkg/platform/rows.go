package platform

import (
	"context"
	"time"
)

// RowKey names one row of the partitioned table service.
type RowKey struct {
	Table     string
	Partition string // a transaction touches one partition only
	Key       string
}

// DefaultMaxRowBytes is the longest value of a row where the platform does not say.
const DefaultMaxRowBytes = 1 << 16

// Row is one row of the partitioned table service.
type Row struct {
	RowKey
	Value   []byte
	Version int64 // of the transaction that wrote it, 0 for a row that is not there
	Removed bool  // only in answers of FollowRows
}

// RowTxn is a set of writes that happen together, and only if each row of
// Expect still has its version there.
type RowTxn struct {
	Expect []Row // Value is ignored
	Put    []Row // Version is ignored
	Remove []RowKey
}

// RowPage is a part of a listing, or the rows that changed.
type RowPage struct {
	Rows    []Row
	More    bool          // the listing goes on behind the last row
	Version int64         // the newest of the whole service at the time of the answer
	Now     time.Duration // the service's steady clock
}

// ErrConflict reports a transaction that was refused because a row did not
// have the version it expected.
type ErrConflict struct {
	Rows []Row // the rows of Expect as they are
}

// Error says that a precondition did not hold.
func (ErrConflict) Error() string { return "a row has another version than the transaction expects" }

// ErrHistoryGone reports that the changes after a version are no longer known.
type ErrHistoryGone struct{}

// Error says that the table has to be read anew.
func (ErrHistoryGone) Error() string { return "the history of changes no longer reaches back so far" }

// ReadIdleTimeout is the longest time in which the service may send no byte of an
// answer that it does not hold back by agreement; it answers in milliseconds, and
// up to 60 times slower in trouble. What comes in pieces over a slow link goes on
// being read: a configuration of 480 KB was given up after 1.7 s and asked for anew,
// for ever, on links of 2 Mbit/s.
const ReadIdleTimeout = 700 * time.Millisecond

// Rows is the partitioned table service. Reads end with an [ErrUnknown] when
// nothing comes for [ReadIdleTimeout]. Errors are an [ErrConflict], an
// [ErrHistoryGone], an [ErrNotDone] when nothing was done, or an [ErrUnknown].
type Rows interface {
	// CommitRows carries out a transaction and returns its version.
	CommitRows(ctx context.Context, txn RowTxn) (version int64, err error)
	// ListRows returns rows of a partition with keys from the given one on, in order.
	ListRows(ctx context.Context, table, partition, from string) (RowPage, error)
	// FollowRows waits for rows of a table that changed after a version.
	FollowRows(ctx context.Context, table string, after int64, wait time.Duration) (RowPage, error)
}

// ListAll calls f for each row of a table's partition, in order of keys, page by
// page. The version is that of the first page: what changed during the listing
// comes again by FollowRows.
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
