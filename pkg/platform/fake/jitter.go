package fake

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gannetwell/gannetwell/pkg/pause"
)

// maxJitter bounds the delay added to a call.
const maxJitter = 100 * time.Microsecond

// Jitter adds a small delay to each call, so that no two calls complete at the same instant:
// the runtime runs virtual timers that are due together in random order. The delay depends
// only on the seed, the kind of call, the number of earlier calls of that kind and the
// current millisecond. A nil Jitter adds nothing.
type Jitter struct {
	mu    sync.Mutex
	start time.Time
	seed  uint64
	calls map[string]uint64
}

// NewJitter returns a Jitter whose clock starts now.
func NewJitter(seed uint64) *Jitter {
	return &Jitter{start: time.Now(), seed: seed, calls: map[string]uint64{}}
}

// delay returns the extra delay of the next call of a kind.
func (j *Jitter) delay(kind ...string) time.Duration {
	if j == nil {
		return 0
	}
	key := strings.Join(kind, " ")
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[key]++
	h := xxhash.New()
	_, _ = h.WriteString(key)
	ms := uint64(time.Since(j.start).Milliseconds())
	for _, n := range []uint64{j.calls[key], ms ^ j.seed<<16} {
		_, _ = h.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
	}
	return time.Duration(h.Sum64() % uint64(maxJitter))
}

// waitDone waits until ctx is done, as a call without an answer does, plus the jitter.
func (j *Jitter) waitDone(ctx context.Context, kind ...string) {
	<-ctx.Done()
	j.sleep(kind...)
}

// sleep waits for the jitter of a call.
func (j *Jitter) sleep(kind ...string) {
	_ = pause.For(context.Background(), j.delay(kind...)) // cannot fail: the context is never cancelled
}
