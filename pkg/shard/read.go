package shard

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/packed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
)

// ReadRow returns a row, with version 0 if it does not exist.
func ReadRow(ctx context.Context, rows platform.Rows, key platform.RowKey) (platform.Row, error) {
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

// readAll returns all rows of a partition of a table.
func readAll(ctx context.Context, rows platform.Rows, table, pool string) (all []platform.Row, err error) {
	_, err = platform.ListAll(ctx, rows, table, pool, func(r platform.Row) { all = append(all, r) })
	return all, err
}

// storedState is what the table service holds of a shard.
type storedState struct {
	registry          *jobs.Registry
	unreadable        map[string]bool // IDs of jobs with a malformed row
	workers           []leasedWorker
	record            workerRecord
	unreportedLoss    bool // a worker of a former owner was lost before it reported to a later one
	workersUnreadable bool // the record of workers is malformed: any worker may hold a lease
	shares            quota.Row
	sharesUnreadable  bool // the row of quota shares is malformed
	queues            []queueRow
	unreadableQueues  map[string]bool // keys of malformed rows of queues
}

// errMalformedRow reports a row that can't be decoded.
type errMalformedRow struct {
	key   platform.RowKey
	cause error
}

// Error names the row and the cause.
func (e errMalformedRow) Error() string {
	return "row " + e.key.Table + "/" + e.key.Key + " can't be read: " + e.cause.Error()
}

// readStoredState reads the partition after the takeover, when no other entry can write to it. A
// job or queue with a malformed row is left out, and malformed is called for each such row.
func readStoredState(ctx context.Context, rows platform.Rows, pool string, term int64, now time.Duration, malformed func(errMalformedRow)) (stored storedState, err error) {
	defer func() { err = errors.Wrapf(err, "read shard %s", pool) }()
	stored.registry, stored.unreadable, stored.unreadableQueues = jobs.NewRegistry(term), map[string]bool{}, map[string]bool{}
	records, err := readAll(ctx, rows, tableJob, pool)
	if err != nil {
		return stored, err
	}
	progress, err := readAll(ctx, rows, tableProgress, pool)
	if err != nil {
		return stored, err
	}
	byID := stored.readProgress(progress, malformed)
	for _, r := range records {
		record, err := jobs.DecodeRunnable(r.Value)
		if err != nil {
			stored.unreadable[r.Key] = true
			malformed(errMalformedRow{key: r.RowKey, cause: err})
		}
		if err := record.Spec.CheckTaskCount(); err != nil {
			// An earlier version accepted a job that is too large for this one.
			stored.unreadable[r.Key] = true
			malformed(errMalformedRow{key: r.RowKey, cause: err})
		}
		if !stored.unreadable[r.Key] {
			stored.registry.Restore(r.Key, record, byID[r.Key], now-jobAge(&record))
		}
	}
	err = stored.readWorkers(ctx, rows, pool, malformed)
	return stored, err
}

// readProgress decodes the progress of jobs, by ID. A job with a malformed or missing row must not
// start over, since its tasks may be done.
func (stored *storedState) readProgress(rows []platform.Row, malformed func(errMalformedRow)) map[string]jobs.Progress {
	byID := make(map[string]jobs.Progress, len(rows))
	further := map[string][]jobs.Progress{}
	for _, r := range rows {
		id, number, hasNumber := strings.Cut(r.Key, progressRowSeparator)
		p, err := jobs.DecodeProgress(r.Value)
		if err != nil {
			stored.unreadable[id] = true
			malformed(errMalformedRow{key: r.RowKey, cause: err})
		}
		if n, err := strconv.Atoi(number); hasNumber && err == nil && n == len(further[id])+1 {
			further[id] = append(further[id], p)
		} else if !hasNumber {
			byID[id] = p
		}
	}
	for id, p := range byID {
		if err := p.Join(further[id]); err != nil {
			stored.unreadable[id] = true
			malformed(errMalformedRow{key: progressKeys("", id, 1)[0], cause: err})
		}
		byID[id] = p
	}
	return byID
}

// readWorkers reads the record of leased workers and the quota shares stored beside it.
func (stored *storedState) readWorkers(ctx context.Context, rows platform.Rows, pool string, malformed func(errMalformedRow)) error {
	sets, err := readAll(ctx, rows, tableWorkers, pool)
	if err != nil {
		return err
	}
	for _, r := range sets {
		ok, err := stored.readPart(r)
		if err != nil {
			stored.workersUnreadable = true
			malformed(errMalformedRow{key: r.RowKey, cause: err})
		}
		switch {
		case ok:
		case strings.HasPrefix(r.Key, queueKeyPrefix):
			if err := stored.readQueue(r); err != nil {
				stored.unreadableQueues[r.Key] = true
				malformed(errMalformedRow{key: r.RowKey, cause: err})
			}
		case r.Key == unreportedLossKey:
			stored.unreportedLoss = true
		case r.Key == sharesKey:
			if err := stored.readShares(r); err != nil {
				malformed(errMalformedRow{key: r.RowKey, cause: err})
			}
		}
	}
	if !stored.record.markerStored {
		stored.record.markAllChanged()
	}
	return nil
}

// readShares decodes the row of quota shares, without those that are no fractions.
func (stored *storedState) readShares(r platform.Row) error {
	stored.sharesUnreadable = true
	var row quota.Row
	if err := packed.Unmarshal(r.Value, &row); err != nil {
		return err
	}
	if maxSeq := quota.LostRow(0, maxTerm+1).Seq; row.Term <= 0 || row.Term > maxTerm || row.Seq < 0 || row.Seq > maxSeq {
		return errors.Errorf("a grant %d of term %d is not possible", row.Seq, row.Term)
	}
	stored.sharesUnreadable = false
	var odd []string
	if stored.shares, odd = row.SplitOff(); len(odd) > 0 {
		return errors.Errorf("no shares of a limit are those of %q", odd)
	}
	return nil
}

// replaceShares replaces quota shares that can't be read, so that no account exceeds its limit. Grants of the owners of
// the allocator's shard before the present one are late.
func (stored *storedState) replaceShares(ctx context.Context, rows platform.Rows, allocator string, term int64) (err error) {
	defer func() { err = errors.Wrap(err, "replace quota shares") }()
	last, err := readLastTerm(ctx, rows, allocator)
	stored.shares = quota.LostRow(last, term)
	return err
}

// readLastTerm returns the term of the last owner of a shard, 0 if it never had one.
func readLastTerm(ctx context.Context, rows platform.Rows, pool string) (term int64, err error) {
	owner, err := ReadRow(ctx, rows, ownerKey(pool))
	if err != nil || owner.Version == 0 {
		return 0, err
	}
	commit, err := ReadRow(ctx, rows, commitKey(pool))
	if err != nil {
		return 0, err
	}
	last, err := decodePredecessor(owner, commit)
	return last.Term, err
}

// maxJobAge bounds the age of a job as computed from two clocks that may differ.
const maxJobAge = time.Minute

// jobAge returns how long ago a job was accepted. The clocks of two entries are compared, so the
// result is only used to order jobs.
func jobAge(r *jobs.Record) time.Duration {
	return min(max(0, time.Duration(time.Now().UnixNano())-r.AcceptedAt), maxJobAge)
}

// ReadOwner returns the owner row of a shard, with version 0 if there is none.
func ReadOwner(ctx context.Context, rows platform.Rows, pool string) (r platform.Row, err error) {
	r, err = ReadRow(ctx, rows, ownerKey(pool))
	return r, errors.Wrapf(err, "read owner of shard %s", pool)
}

// FindJob reports whether a shard has stored a job that the requester may see.
func FindJob(ctx context.Context, rows platform.Rows, pool, id string, by Requester) (found bool, err error) {
	defer func() { err = errors.Wrapf(err, "look for job %s", id) }()
	r, err := ReadRow(ctx, rows, jobKey(pool, id))
	if err != nil || r.Version == 0 {
		return false, err
	}
	record, err := jobs.DecodeRecord(r.Value)
	return err == nil && by.maySee(&record), err
}
