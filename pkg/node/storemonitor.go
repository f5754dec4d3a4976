package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// storeMonitor wraps the table service, the store, and tracks whether it answers this node.
type storeMonitor struct {
	platform.Rows
	log   zerolog.Logger
	clock *elapsed.Clock
	// onLost is called, without mu held, when the service stops answering.
	onLost func()
	// onRegained is called, without mu held, when the service answers again.
	onRegained func()

	mu         sync.Mutex
	lost       bool
	since      time.Duration // when lost last changed
	answeredAt time.Duration // when a call was last answered

	lossCallbacks  map[int]func() // by ID; called when the service stops answering
	lastCallbackID int
}

// notifyLoss calls f when the service stops answering, until the returned function is called.
func (r *storeMonitor) notifyLoss(f func()) (cancel func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lossCallbacks == nil {
		r.lossCallbacks = map[int]func(){}
	}
	r.lastCallbackID++
	id := r.lastCallbackID
	r.lossCallbacks[id] = f
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.lossCallbacks, id)
	}
}

// CommitRows implements platform.Rows.
func (r *storeMonitor) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	version, err := r.Rows.CommitRows(ctx, txn)
	r.recordCall(ctx, err)
	return version, err
}

// ListRows implements platform.Rows.
func (r *storeMonitor) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := r.Rows.ListRows(ctx, table, partition, from)
	r.recordCall(ctx, err)
	return page, err
}

// FollowRows implements platform.Rows.
func (r *storeMonitor) FollowRows(ctx context.Context, table string, after int64, wait time.Duration) (platform.RowPage, error) {
	page, err := r.Rows.FollowRows(ctx, table, after, wait)
	r.recordCall(ctx, err)
	return page, err
}

// recordCall records the outcome of a call; an error that the service itself returned counts as an
// answer.
func (r *storeMonitor) recordCall(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // canceled by the caller, which says nothing about the service
	}
	if errors.As(err, new(platform.ErrConflict)) || errors.As(err, new(platform.ErrHistoryGone)) {
		err = nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := err != nil
	if !lost {
		r.answeredAt = r.clock.Now()
	}
	if lost == r.lost {
		return
	}
	r.lost, r.since = lost, r.clock.Now()
	if lost {
		r.log.Warn().Str("event", "store_lost").Err(err).Send()
		for _, f := range r.lossCallbacks {
			f()
		}
		go r.onLost()
	} else {
		r.log.Info().Str("event", "store_regained").Send()
		go r.onRegained()
	}
}

// uptime returns for how long calls have been answered without a failure, 0 if the last one was
// not.
func (r *storeMonitor) uptime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		return 0
	}
	return r.clock.Now() - r.since
}

// silentFor returns the time since a call was last answered.
func (r *storeMonitor) silentFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() - r.answeredAt
}

// reachable reports whether the service answered the last call.
func (r *storeMonitor) reachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lost
}
