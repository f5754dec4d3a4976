package fake

import (
	"cmp"
	"context"
	"encoding/base64"
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// FaultLate loses the answer of a commit or an order and applies its effect later, if its
// preconditions still hold then.
const FaultLate Fault = "late"

// FaultRefused refuses a commit as an invalid transaction.
const FaultRefused Fault = "refused"

// FaultPretended answers a commit as done and does nothing, which the platform promises not to do.
const FaultPretended Fault = "pretended"

// RowOp names an operation of the partitioned table service.
type RowOp string

// The operations of the partitioned table service.
const (
	RowCommit RowOp = "commit"
	RowList   RowOp = "list"
	RowFollow RowOp = "follow"
)

// maxListedRows bounds the rows of one page.
const maxListedRows = 500

// Limits of a transaction on the users' platform.
const (
	maxTxnOps   = 100
	maxTxnBytes = 1_000_000
	maxRowBytes = 65_536
	maxKeyBytes = 200
)

// checkTxn returns an error for a transaction that exceeds the limits.
func checkTxn(txn *platform.RowTxn) error {
	bytes, reason := 0, ""
	if len(txn.Expect)+len(txn.Put)+len(txn.Remove) > maxTxnOps {
		reason = "too many entries"
	}
	for i := range txn.Put {
		bytes += base64.StdEncoding.EncodedLen(len(txn.Put[i].Value))
		if len(txn.Put[i].Value) > maxRowBytes || len(txn.Put[i].Key) > maxKeyBytes {
			reason = "value is missing or too long"
		}
	}
	if bytes > maxTxnBytes {
		reason = "too many bytes"
	}
	if reason == "" {
		return nil
	}
	return platform.ErrRefused{Op: string(RowCommit), Reason: reason}
}

// Rows is an in-memory platform.Rows service; entries reach it through [Rows.As].
type Rows struct {
	latency   time.Duration
	lateDelay time.Duration
	start     time.Time
	jitter    *Jitter

	mu             sync.Mutex
	fault          func(op RowOp, entry string) Fault
	bytesPerSecond int // link rate of a caller, counting values only; 0 for no limit
	rows           map[platform.RowKey]platform.Row
	log            []platform.Row // changes ordered by version
	version        int64
	truncatedTo    int64 // changes up to this version are dropped
	changed        chan struct{}
}

var _ platform.Rows = (*rowsView)(nil)

// SetLatency sets the latency of calls.
func (r *Rows) SetLatency(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latency = d
}

// callLatency returns the latency of a call.
func (r *Rows) callLatency() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latency
}

// SetJitter adds jitter to each call; it must be called before the first call.
func (r *Rows) SetJitter(j *Jitter) { r.jitter = j }

// NewRows returns an empty table service. Calls take latency; lateDelay is added for FaultLate.
func NewRows(latency, lateDelay time.Duration) *Rows {
	return &Rows{
		latency: latency, lateDelay: lateDelay, start: time.Now(), fault: func(RowOp, string) Fault { return FaultNone },
		rows: map[platform.RowKey]platform.Row{}, changed: make(chan struct{}),
	}
}

// SetFault sets the function that selects the fault of each call.
func (r *Rows) SetFault(f func(op RowOp, entry string) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// SetRate limits the link of each caller to a number of bytes of values per second, 0 for no limit.
func (r *Rows) SetRate(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytesPerSecond = bytes
}

// TruncateHistory drops the history, so that FollowRows from an older version fails.
func (r *Rows) TruncateHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log, r.truncatedTo = nil, r.version
}

// Corrupt overwrites the value of an existing row, as a faulty writer would.
func (r *Rows) Corrupt(key platform.RowKey, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.rows[key]
	if !ok {
		return
	}
	r.version++
	row.Value, row.Version = slices.Clone(value), r.version
	r.rows[key] = row
	r.log = append(r.log, row)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Operator is the entry name that [Rows.As] exempts from the limits of transactions.
const Operator = "operator"

// As returns the service as seen by one entry, whose name is passed to the fault function.
func (r *Rows) As(entry string) platform.Rows { return &rowsView{Rows: r, entry: entry} }

// rowsView is the service as one entry reaches it.
type rowsView struct {
	*Rows
	entry string
}

func (r *rowsView) nextFault(op RowOp) Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault(op, r.entry)
}

// CommitRows implements platform.Rows.
func (r *rowsView) CommitRows(ctx context.Context, txn platform.RowTxn) (version int64, err error) {
	fault := r.nextFault(RowCommit)
	if err := pause.For(ctx, r.callLatency()+r.jitter.delay(string(RowCommit), r.entry)); err != nil {
		r.jitter.sleep(string(RowCommit), r.entry)
		return 0, platform.ErrUnknown{Op: string(RowCommit), Cause: err.Error()}
	}
	switch fault {
	case FaultDown:
		return 0, platform.ErrNotDone{Op: string(RowCommit), Cause: "the table service is down"}
	case FaultRefused:
		return 0, platform.ErrRefused{Op: string(RowCommit), Reason: "refused by a test"}
	}
	if err := checkTxn(&txn); err != nil && r.entry != Operator {
		return 0, err
	}
	switch fault {
	case FaultLostBefore:
		r.jitter.waitDone(ctx, string(RowCommit), r.entry)
		return 0, platform.ErrUnknown{Op: string(RowCommit), Cause: ctx.Err().Error()}
	case FaultLate:
		time.AfterFunc(r.lateDelay, func() { _, _ = r.commit(txn) })
		r.jitter.waitDone(ctx, string(RowCommit), r.entry)
		return 0, platform.ErrUnknown{Op: string(RowCommit), Cause: ctx.Err().Error()}
	}
	if fault == FaultPretended && r.entry != Operator {
		return r.pretend(txn)
	}
	version, err = r.commit(txn)
	if fault == FaultLostAfter {
		r.jitter.waitDone(ctx, string(RowCommit), r.entry)
		return 0, platform.ErrUnknown{Op: string(RowCommit), Cause: ctx.Err().Error()}
	}
	return version, err
}

func (r *Rows) commit(txn platform.RowTxn) (version int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range txn.Expect {
		if r.rows[e.RowKey].Version != e.Version {
			return 0, r.conflict(txn)
		}
	}
	r.version++
	for _, p := range txn.Put {
		p.Version = r.version
		p.Value = slices.Clone(p.Value)
		r.rows[p.RowKey] = p
		r.log = append(r.log, p)
	}
	for _, k := range txn.Remove {
		delete(r.rows, k)
		r.log = append(r.log, platform.Row{RowKey: k, Version: r.version, Removed: true})
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.version, nil
}

// pretend answers a transaction without carrying it out. The rows with preconditions are written, so that the
// next transaction does not show it.
func (r *Rows) pretend(txn platform.RowTxn) (version int64, err error) {
	kept := txn
	kept.Put, kept.Remove = nil, nil
	for _, p := range txn.Put {
		if slices.ContainsFunc(txn.Expect, func(e platform.Row) bool { return e.RowKey == p.RowKey }) {
			kept.Put = append(kept.Put, p)
		}
	}
	return r.commit(kept)
}

func (r *Rows) conflict(txn platform.RowTxn) error {
	var rows []platform.Row
	for _, e := range txn.Expect {
		row := r.rows[e.RowKey]
		row.RowKey = e.RowKey
		rows = append(rows, row)
	}
	return platform.ErrConflict{Rows: rows}
}

// ListRows implements platform.Rows.
func (r *rowsView) ListRows(ctx context.Context, table, partition, from string) (page platform.RowPage, err error) {
	if err := r.beginRead(ctx, RowList, 0); err != nil {
		return page, err
	}
	page = r.list(table, partition, from)
	return page, r.transfer(ctx, RowList, page)
}

func (r *Rows) list(table, partition, from string) (page platform.RowPage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, row := range r.rows {
		if k.Table == table && k.Partition == partition && k.Key >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Rows) > maxListedRows {
		page.Rows, page.More = page.Rows[:maxListedRows], true
	}
	page.Version, page.Now = r.version, time.Since(r.start)
	return page
}

// transfer waits for the time that a page takes on the caller's link.
func (r *Rows) transfer(ctx context.Context, op RowOp, page platform.RowPage) error {
	r.mu.Lock()
	rate := r.bytesPerSecond
	r.mu.Unlock()
	if rate == 0 {
		return nil
	}
	size := 0
	for _, row := range page.Rows {
		size += len(row.Value)
	}
	if err := pause.For(ctx, time.Duration(size)*time.Second/time.Duration(rate)); err != nil {
		return platform.ErrUnknown{Op: string(op), Cause: err.Error()}
	}
	return nil
}

// beginRead waits for the latency of a read and injects its fault. A lost answer fails once
// the caller's idle timeout has passed.
func (r *rowsView) beginRead(ctx context.Context, op RowOp, wait time.Duration) error {
	fault := r.nextFault(op)
	if err := pause.For(ctx, r.callLatency()+r.jitter.delay(string(op), r.entry)); err != nil {
		r.jitter.sleep(string(op), r.entry)
		return platform.ErrNotDone{Op: string(op), Cause: err.Error()}
	}
	switch fault {
	case FaultDown:
		return platform.ErrNotDone{Op: string(op), Cause: "the table service is down"}
	case FaultLostBefore, FaultLostAfter:
		_ = pause.For(ctx, wait+platform.ReadIdleTimeout)
		r.jitter.sleep(string(op), r.entry)
		return platform.ErrUnknown{Op: string(op), Cause: "no answer"}
	}
	return nil
}

// FollowRows implements platform.Rows.
func (r *rowsView) FollowRows(ctx context.Context, table string, after int64, wait time.Duration) (page platform.RowPage, err error) {
	if err := r.beginRead(ctx, RowFollow, wait); err != nil {
		return page, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		r.mu.Lock()
		changed := r.changed
		if after < r.truncatedTo {
			r.mu.Unlock()
			return page, platform.ErrHistoryGone{}
		}
		for _, row := range r.log {
			if row.Table == table && row.Version > after {
				page.Rows = append(page.Rows, row)
			}
		}
		page.Version, page.Now = r.version, time.Since(r.start)
		r.mu.Unlock()
		if len(page.Rows) > 0 {
			return page, r.transfer(ctx, RowFollow, page)
		}
		select {
		case <-changed:
		case <-end.C:
			return page, nil
		case <-ctx.Done():
			return page, platform.ErrUnknown{Op: string(RowFollow), Cause: ctx.Err().Error()}
		}
	}
}
