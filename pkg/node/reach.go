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

// reach passes calls to the table service on and remembers whether it answers this node.
type reach struct {
	platform.Rows
	log   zerolog.Logger
	clock *elapsed.Clock
	// onLost is told, without the lock, that the service has stopped answering.
	onLost func()

	mu    sync.Mutex
	lost  bool
	since time.Duration // when lost last changed
	heard time.Duration // when a call was last answered

	doubters map[int]func() // called once the service has stopped answering
	doubts   int            // that were ever there
}

// whenLost has f called when the service stops answering, unless forget was called before.
func (r *reach) whenLost(f func()) (forget func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.doubters == nil {
		r.doubters = map[int]func(){}
	}
	r.doubts++
	id := r.doubts
	r.doubters[id] = f
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.doubters, id)
	}
}

// CommitRows implements platform.Rows.
func (r *reach) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	version, err := r.Rows.CommitRows(ctx, txn)
	r.note(ctx, err)
	return version, err
}

// ListRows implements platform.Rows.
func (r *reach) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := r.Rows.ListRows(ctx, table, partition, from)
	r.note(ctx, err)
	return page, err
}

// FollowRows implements platform.Rows.
func (r *reach) FollowRows(ctx context.Context, table string, after int64, wait time.Duration) (platform.RowPage, error) {
	page, err := r.Rows.FollowRows(ctx, table, after, wait)
	r.note(ctx, err)
	return page, err
}

// note takes the outcome of a call; what the service refused, it has answered.
func (r *reach) note(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // given up here, which says nothing of the service
	}
	if errors.As(err, new(platform.ErrConflict)) || errors.As(err, new(platform.ErrHistoryGone)) {
		err = nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := err != nil
	if !lost {
		r.heard = r.clock.Now()
	}
	if lost == r.lost {
		return
	}
	r.lost, r.since = lost, r.clock.Now()
	if lost {
		r.log.Warn().Str("event", "store_lost").Err(err).Send()
		for _, f := range r.doubters {
			f()
		}
		go r.onLost()
	} else {
		r.log.Info().Str("event", "store_regained").Send()
	}
}

// okFor is for how long calls have been answered, 0 while they are not.
func (r *reach) okFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		return 0
	}
	return r.clock.Now() - r.since
}

// silentFor is how long ago a call was last answered.
func (r *reach) silentFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() - r.heard
}

// ok tells whether the last call was answered.
func (r *reach) ok() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lost
}
