package shard

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/allowance"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

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
	book       *jobs.Registry
	unreadable map[string]bool // IDs of jobs one of whose rows can't be read
	workers    []leasedWorker
	record     record
	unheard    bool // a worker was lost before any owner after its last one has heard it
	blind      bool // the record of workers can't be read: any may hold a lease
	shares     allowance.Row
}

// errMalformedRow reports a row that another writer has left, or that is damaged.
type errMalformedRow struct {
	key   platform.RowKey
	cause error
}

// Error names the row.
func (e errMalformedRow) Error() string {
	return "row " + e.key.Table + "/" + e.key.Key + " can't be read: " + e.cause.Error()
}

// readKept reads the partition after the takeover, when no one else can write to it. A
// job one of whose rows can't be read is left out, and with it nothing else: malformed is
// told of each. Without the shares of accounts' limits nothing could be started safely.
func readKept(ctx context.Context, rows platform.Rows, pool string, term int64, now time.Duration, malformed func(errMalformedRow)) (k kept, err error) {
	defer func() { err = errors.Wrapf(err, "read shard %s", pool) }()
	k.book, k.unreadable = jobs.NewRegistry(term), map[string]bool{}
	records, err := readAll(ctx, rows, tableJob, pool)
	if err != nil {
		return k, err
	}
	progress, err := readAll(ctx, rows, tableProgress, pool)
	if err != nil {
		return k, err
	}
	byID := k.readProgress(progress, malformed)
	for _, r := range records {
		record, err := jobs.DecodeRecord(r.Value)
		if err != nil {
			k.unreadable[r.Key] = true
			malformed(errMalformedRow{key: r.RowKey, cause: err})
		}
		if err := record.Spec.CheckTaskCount(); err != nil {
			// An earlier version took it. Its tasks are not laid out, so none of them starts.
			k.unreadable[r.Key] = true
			malformed(errMalformedRow{key: r.RowKey, cause: err})
		}
		if !k.unreadable[r.Key] {
			k.book.Restore(r.Key, record, byID[r.Key], now-ageOf(&record))
		}
	}
	err = k.readWorkers(ctx, rows, pool, malformed)
	return k, err
}

// readProgress reads the progress of jobs, by ID. One of whose rows can't be read, or is missing,
// must not begin again: its tasks may be done.
func (k *kept) readProgress(rows []platform.Row, malformed func(errMalformedRow)) map[string]jobs.Progress {
	byID := make(map[string]jobs.Progress, len(rows))
	further := map[string][]jobs.Progress{}
	for _, r := range rows {
		id, number, isFurther := strings.Cut(r.Key, furtherRow)
		p, err := jobs.DecodeProgress(r.Value)
		if err != nil {
			k.unreadable[id] = true
			malformed(errMalformedRow{key: r.RowKey, cause: err})
		}
		if n, err := strconv.Atoi(number); isFurther && err == nil && n == len(further[id])+1 {
			further[id] = append(further[id], p)
		} else if !isFurther {
			byID[id] = p
		}
	}
	for id, p := range byID {
		if err := p.Join(further[id]); err != nil {
			k.unreadable[id] = true
			malformed(errMalformedRow{key: progressKeys("", id, 1)[0], cause: err})
		}
		byID[id] = p
	}
	return byID
}

// readWorkers reads the record of leased workers, and the shares beside it.
func (k *kept) readWorkers(ctx context.Context, rows platform.Rows, pool string, malformed func(errMalformedRow)) error {
	sets, err := readAll(ctx, rows, tableWorkers, pool)
	if err != nil {
		return err
	}
	for _, r := range sets {
		ok, err := k.takePart(r)
		if err != nil {
			k.blind = true
			malformed(errMalformedRow{key: r.RowKey, cause: err})
		}
		switch {
		case ok:
		case r.Key == unheardKey:
			k.unheard = true // whatever it says
		case r.Key == sharesKey:
			if err := msgpack.Unmarshal(r.Value, &k.shares); err != nil {
				return errMalformedRow{key: r.RowKey, cause: err}
			}
		}
	}
	if !k.record.marked {
		k.record.noteAll()
	}
	return nil
}

// maxAge bounds how old a job may seem by clocks that differ; older ones are late anyway.
const maxAge = time.Minute

// ageOf is how long ago a job was accepted, by the clock of the entry that took it
// and ours. It only orders jobs, so that clocks that differ or jump do no harm.
func ageOf(r *jobs.Record) time.Duration {
	return min(max(0, time.Duration(time.Now().UnixNano())-r.AcceptedAt), maxAge)
}

// ReadOwner returns the owner row of a shard, with version 0 when there is none.
func ReadOwner(ctx context.Context, rows platform.Rows, pool string) (r platform.Row, err error) {
	r, err = ReadOne(ctx, rows, ownerKey(pool))
	return r, errors.Wrapf(err, "read owner of shard %s", pool)
}

// FindJob tells whether the partition of a shard holds a job that the asker may see.
func FindJob(ctx context.Context, rows platform.Rows, pool, id string, by Asker) (found bool, err error) {
	defer func() { err = errors.Wrapf(err, "look for job %s", id) }()
	r, err := ReadOne(ctx, rows, jobKey(pool, id))
	if err != nil || r.Version == 0 {
		return false, err
	}
	record, err := jobs.DecodeRecord(r.Value)
	return err == nil && by.maySee(&record), err
}
