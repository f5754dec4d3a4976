package shard_test

import (
	"context"
	"slices"
	"sync"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// The services below have injected bugs, to check that random scenarios detect them.

// unfenced gives all orders the same fencing token.
type unfenced struct{ platform.Workers }

func (u unfenced) StartAttempt(ctx context.Context, w platform.WorkerRef, o platform.StartOrder) (int64, error) {
	o.Token = 1
	return u.Workers.StartAttempt(ctx, w, o)
}

func (u unfenced) RenewLeases(ctx context.Context, w platform.WorkerRef, o platform.RenewOrder) (platform.WorkerReport, error) {
	o.Token = 1
	return u.Workers.RenewLeases(ctx, w, o)
}

// eagerAcks acknowledges every end that was reported, whether it is stored or not.
type eagerAcks struct {
	platform.Workers
	mu   sync.Mutex
	last map[string]int64
}

func (h *eagerAcks) RenewLeases(ctx context.Context, w platform.WorkerRef, o platform.RenewOrder) (platform.WorkerReport, error) {
	h.mu.Lock()
	o.AckedSeq = max(o.AckedSeq, h.last[w.Boot])
	h.mu.Unlock()
	r, err := h.Workers.RenewLeases(ctx, w, o)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range r.Ended {
		h.last[w.Boot] = max(h.last[w.Boot], e.Seq)
	}
	return r, err
}

// withoutShares hides the row of quota shares.
type withoutShares struct{ platform.Rows }

func (f withoutShares) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := f.Rows.ListRows(ctx, table, partition, from)
	page.Rows = slices.DeleteFunc(page.Rows, func(r platform.Row) bool { return r.Key == "shares" })
	return page, err
}

// unconditional drops the preconditions of transactions.
type unconditional struct{ platform.Rows }

func (u unconditional) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	txn.Expect = nil
	return u.Rows.CommitRows(ctx, txn)
}

// firstCheckpoints starts each task from the first checkpoint that any start of it brought.
type firstCheckpoints struct {
	platform.Workers
	mu    *sync.Mutex
	first map[string]string // by task
}

func (f firstCheckpoints) StartAttempt(ctx context.Context, w platform.WorkerRef, o platform.StartOrder) (int64, error) {
	f.mu.Lock()
	if f.first[o.Task] == "" {
		f.first[o.Task] = o.Checkpoint
	}
	o.Checkpoint = f.first[o.Task]
	f.mu.Unlock()
	return f.Workers.StartAttempt(ctx, w, o)
}
