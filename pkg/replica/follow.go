package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// nonReaderSkips is how many intervals a replica skips while others of its zone read the head.
const nonReaderSkips = 8

// Follower keeps a replica up to date with the store.
type Follower struct {
	replica  *Replica
	interval time.Duration
	isReader func() bool
	log      zerolog.Logger

	mu  sync.Mutex
	err error
}

// NewFollower returns a follower that reads the head once per interval, or less often while
// isReader returns false.
func NewFollower(r *Replica, interval time.Duration, isReader func() bool, log zerolog.Logger) *Follower {
	return &Follower{replica: r, interval: interval, isReader: isReader, log: log}
}

// Err returns the error of the last read, nil if it succeeded.
func (f *Follower) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// CatchUp reads once and records the error for Err. It returns the revision of the head.
func (f *Follower) CatchUp(ctx context.Context) (revision int, err error) {
	revision, err = f.replica.CatchUp(ctx)
	f.mu.Lock()
	changed := (err == nil) != (f.err == nil)
	f.err = err
	f.mu.Unlock()
	if changed {
		f.log.Info().Str("event", "store_reached").Bool("reached", err == nil).Err(err).Send()
	}
	return revision, err
}

// Run reads until ctx ends. The intervals are jittered so that entries do not read at the same
// time.
func (f *Follower) Run(ctx context.Context) error {
	skipped := 0
	for {
		if sleepJittered(ctx, f.interval) != nil {
			return nil
		}
		if !f.isReader() && skipped < nonReaderSkips {
			skipped++
			continue
		}
		skipped = 0
		_, _ = f.CatchUp(ctx) // the error is available from Err
	}
}
