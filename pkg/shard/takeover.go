package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Identity is one incarnation of an entry.
type Identity struct {
	Entry   string
	Start   int64
	Address string // of its peer listener
}

// ErrNotOwner reports that another entry owns the shard: it was first, or has taken the shard over.
type ErrNotOwner struct {
	Owner OwnerRow
}

// Error names the owner.
func (e ErrNotOwner) Error() string { return "the shard is owned by " + e.Owner.Entry }

// Claim is a shard that this process has just become the owner of.
type Claim struct {
	Term         int64
	OwnerVersion int64 // of the owner row
	chain        int64 // version of the commit row
}

// Release lets go of the owner row; next names who should take over, if not empty.
func (c Claim) Release(ctx context.Context, rows platform.Rows, pool, next string) (err error) {
	return c.ReleaseWith(ctx, rows, pool, next, platform.RowTxn{})
}

// ReleaseWith lets go of the owner row in a transaction that does more.
func (c Claim) ReleaseWith(ctx context.Context, rows platform.Rows, pool, next string, txn platform.RowTxn) (err error) {
	defer func() { err = errors.Wrapf(err, "release shard %s", pool) }()
	raw, err := encode(OwnerRow{Term: c.Term, Next: next})
	if err != nil {
		return err
	}
	txn.Expect = append(txn.Expect, platform.Row{RowKey: ownerKey(pool), Version: c.OwnerVersion})
	txn.Put = append(txn.Put, platform.Row{RowKey: ownerKey(pool), Value: raw})
	_, err = rows.CommitRows(ctx, txn)
	return err
}

// Stands reads the owner row and tells whether it is still the one that the claim wrote.
func (c Claim) Stands(ctx context.Context, rows platform.Rows, pool string) (stands bool, err error) {
	row, err := ReadOwner(ctx, rows, pool)
	return err == nil && row.Version == c.OwnerVersion, err
}

// TakeOver writes this entry into the owner row, provided the row still has the
// version that the decision to take over was made on. It calls sending before
// the transaction is sent; an error without that call had no effect.
func TakeOver(ctx context.Context, rows platform.Rows, pool string, self Identity, seen int64, sending func()) (c Claim, err error) {
	defer func() { err = errors.Wrapf(err, "take over shard %s", pool) }()
	owner, err := ReadOne(ctx, rows, ownerKey(pool))
	if err != nil {
		return c, err
	}
	commit, err := ReadOne(ctx, rows, commitKey(pool))
	if err != nil {
		return c, err
	}
	var old OwnerRow
	if owner.Version > 0 {
		if old, err = DecodeOwner(owner.Value); err != nil {
			return c, err
		}
	}
	if owner.Version != seen {
		return c, ErrNotOwner{Owner: old}
	}
	c.Term = old.Term + 1
	ownerRaw, err := encode(OwnerRow{Entry: self.Entry, Start: self.Start, Address: self.Address, Term: c.Term})
	if err != nil {
		return c, err
	}
	commitRaw, err := encode(commitRow{Entry: self.Entry, Start: self.Start, Term: c.Term})
	if err != nil {
		return c, err
	}
	txn := platform.RowTxn{
		Expect: []platform.Row{{RowKey: ownerKey(pool), Version: owner.Version}, {RowKey: commitKey(pool), Version: commit.Version}},
		Put:    []platform.Row{{RowKey: ownerKey(pool), Value: ownerRaw}, {RowKey: commitKey(pool), Value: commitRaw}},
	}
	sending()
	version, err := rows.CommitRows(ctx, txn)
	if err != nil {
		return c, err
	}
	c.OwnerVersion, c.chain = version, version
	return c, nil
}

// ReadOne returns a row, with version 0 when it is not there.
func ReadOne(ctx context.Context, rows platform.Rows, key platform.RowKey) (platform.Row, error) {
	page, err := rows.ListRows(ctx, key.Table, key.Partition, key.Key)
	if err != nil {
		return platform.Row{}, err
	}
	for _, r := range page.Rows {
		if r.Key == key.Key {
			return r, nil
		}
	}
	return platform.Row{RowKey: key}, nil
}

// readAll returns all rows of a table's partition.
func readAll(ctx context.Context, rows platform.Rows, table, pool string) (all []platform.Row, err error) {
	_, err = platform.ListAll(ctx, rows, table, pool, func(r platform.Row) { all = append(all, r) })
	return all, err
}

// kept is what a shard's partition holds.
type kept struct {
	book    *jobs.Book
	workers []leasedWorker
}

// readKept reads the partition after the takeover, when no one else can write to it.
func readKept(ctx context.Context, rows platform.Rows, pool string, term int64, now time.Duration) (k kept, err error) {
	defer func() { err = errors.Wrapf(err, "read shard %s", pool) }()
	records, err := readAll(ctx, rows, tableJob, pool)
	if err != nil {
		return k, err
	}
	progress, err := readAll(ctx, rows, tableProgress, pool)
	if err != nil {
		return k, err
	}
	byID := make(map[string]jobs.Progress, len(progress))
	for _, r := range progress {
		p, err := jobs.DecodeProgress(r.Value)
		if err != nil {
			return k, errors.Wrapf(err, "job %s", r.Key)
		}
		byID[r.Key] = p
	}
	k.book = jobs.NewBook(term)
	for _, r := range records {
		record, err := jobs.DecodeRecord(r.Value)
		if err != nil {
			return k, errors.Wrapf(err, "job %s", r.Key)
		}
		k.book.Restore(r.Key, record, byID[r.Key], now)
	}
	set, err := ReadOne(ctx, rows, workersKey(pool))
	if err != nil {
		return k, err
	}
	if set.Version > 0 {
		err = msgpack.Unmarshal(set.Value, &k.workers)
	}
	return k, errors.Wrap(err, "decode leased workers")
}

// ReadOwner returns the owner row of a shard, with version 0 when there is none.
func ReadOwner(ctx context.Context, rows platform.Rows, pool string) (r platform.Row, err error) {
	r, err = ReadOne(ctx, rows, ownerKey(pool))
	return r, errors.Wrapf(err, "read owner of shard %s", pool)
}

// FindJob tells whether the partition of a shard holds a job.
func FindJob(ctx context.Context, rows platform.Rows, pool, id string) (found bool, err error) {
	r, err := ReadOne(ctx, rows, jobKey(pool, id))
	return r.Version > 0, errors.Wrapf(err, "look for job %s", id)
}
