package fake

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gannetwell/gannetwell/pkg/pause"
)

// maxJitter bounds what a spread adds to a call.
const maxJitter = 100 * time.Microsecond

// Jitter adds a small delay of its own to each call, so that no two are answered at the same
// instant: the runtime shuffles timers of virtual time that are due together. The delay follows
// from what the call is, from how many of its kind came before, and from the millisecond, so that
// another course has other orders. A nil Jitter adds nothing.
type Jitter struct {
	mu    sync.Mutex
	start time.Time
	seed  uint64
	calls map[string]uint64
}

// NewJitter returns a spread for a course that begins now; another salt has other orders.
func NewJitter(seed uint64) *Jitter {
	return &Jitter{start: time.Now(), seed: seed, calls: map[string]uint64{}}
}

// delay is what the next call of a kind takes longer.
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

// waitDone waits until ctx has ended, as a call does that gets no answer.
func (j *Jitter) waitDone(ctx context.Context, kind ...string) {
	<-ctx.Done()
	j.sleep(kind...)
}

// sleep puts off what a call does next.
func (j *Jitter) sleep(kind ...string) {
	_ = pause.For(context.Background(), j.delay(kind...)) // it ends by itself
}
