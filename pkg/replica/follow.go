package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// nonReaderSkips is how much more seldom a replica reads the head when another of its zone reads for it.
const nonReaderSkips = 8

// Follower keeps a replica up with the store.
type Follower struct {
	replica  *Replica
	interval time.Duration
	isReader func() bool
	log      zerolog.Logger

	mu  sync.Mutex
	err error
}

// NewFollower returns a follower that reads the head at an interval while reader tells it to, else seldom.
func NewFollower(r *Replica, interval time.Duration, reader func() bool, log zerolog.Logger) *Follower {
	return &Follower{replica: r, interval: interval, isReader: reader, log: log}
}

// Err returns the error of the last read, nil when it succeeded.
func (f *Follower) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// CatchUp reads once and keeps the result.
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

// Run reads until ctx ends; intervals are spread so that nodes do not read together.
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
		_, _ = f.CatchUp(ctx) // kept for Err
	}
}
