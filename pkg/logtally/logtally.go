// Package logtally counts what happens often, for a log line now and then.
package logtally

import (
	"sync"
	"time"
)

// Tally counts occurrences that log lines report together.
type Tally struct {
	every time.Duration

	mu       sync.Mutex
	n        int // since the last line
	reported time.Time
}

// New returns a tally for one line in so much time; the first one is due at once.
func New(every time.Duration) *Tally { return &Tally{every: every} }

// Add counts one and returns the number since the last line if another line is due, else 0.
func (t *Tally) Add() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
	if now := time.Now(); now.Sub(t.reported) >= t.every {
		n, t.n, t.reported = t.n, 0, now
	}
	return n
}
