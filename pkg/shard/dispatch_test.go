package shard_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// countingWorkers counts concurrent starts.
type countingWorkers struct {
	platform.Workers

	mu            sync.Mutex
	current, peak int
}

func (w *countingWorkers) StartAttempt(ctx context.Context, r platform.WorkerRef, o platform.StartOrder) (int64, error) {
	w.mu.Lock()
	w.current++
	w.peak = max(w.peak, w.current)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.current--
	}()
	return w.Workers.StartAttempt(ctx, r, o)
}

// TestMaxOrdersPerWorker checks that at most two orders are sent to a worker at once, when twenty
// tasks start there.
func TestMaxOrdersPerWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestCluster(t)
		defer e.close()
		counted := &countingWorkers{}
		e.wrapWorkers = func(w platform.Workers) platform.Workers {
			counted.Workers = w
			return counted
		}
		e.addWorker("w1", "w1", "w1", "20000", "0")
		e.startOwner("a")
		e.submit("a", "", "j1", "20x1000/1s")
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		qt.Check(t, counted.peak, qt.Equals, 2)
		qt.Check(t, e.workers.Running("w1"), qt.HasLen, 20)
	})
}
