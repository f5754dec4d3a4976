package shard_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// idleWorkers runs random scenarios in which workers, some with slow clocks, are idle for minutes, and right after
// the next starts some can't be reached while the owner is replaced.
func idleWorkers(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newScenario(t, inject)
		defer m.e.close()
		m.bootAll(3)
		m.takeOver()
		kinds := []func(){m.submitAfterIdle, m.submitAfterIdle, m.submitAfterIdle, m.submit, m.submitLong, m.takeOver, m.handOver, m.startConcurrentOwner, m.cutOff, m.orderFault, m.clearFaults}
		for range rapid.IntRange(2, 8).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.pause(1, 9000, "pause")
		}
		m.finish()
	}
}

// submitAfterIdle submits a job after some minutes without work, and replaces the owner right after its start, often
// with a worker cut off.
func (m *scenario) submitAfterIdle() {
	m.clearFaults()
	m.pause(20_000, 600_000, "idle")
	m.submitLong()
	m.pause(1, 50, "until replaced")
	if rapid.Bool().Draw(m.t, "cut off") {
		m.cutOff()
	}
	rapid.SampledFrom([]func(){m.takeOver, m.handOver, m.startConcurrentOwner}).Draw(m.t, "replaced by")()
}

// submitLong submits a job of tasks that outlast their leases unless these are renewed.
func (m *scenario) submitLong() {
	texts := []string{"1x1000/12s", "3x1000/15s", "2x2000/7s"}
	m.jobs++
	m.submitJob(jobID(m.jobs), texts[rapid.IntRange(0, len(texts)-1).Draw(m.t, "text")])
}

// TestIdleWorkers guards against leases that outlast the wait of the next owner, at workers that were idle for minutes.
func TestIdleWorkers(t *testing.T) { prop.Check(t, idleWorkers(nil)) }

// TestIdleWorkersDetectsFaults checks that it detects leases by a clock that is carried on from an old reading.
func TestIdleWorkersDetectsFaults(t *testing.T) {
	qt.Assert(t, prop.FindsFailure(t, idleWorkers(func(e *testCluster) {
		e.wrapWorkers = func(w platform.Workers) platform.Workers {
			return &leasesByOldReading{Workers: w, answered: map[string]time.Time{}}
		}
	})), qt.IsTrue)
}

// leasesByOldReading makes leases longer by the drift of a slow clock since the last answered poll of the boot.
type leasesByOldReading struct {
	platform.Workers
	mu       sync.Mutex
	answered map[string]time.Time // when the last poll was answered, by boot
}

func (l *leasesByOldReading) RenewLeases(ctx context.Context, w platform.WorkerRef, o platform.RenewOrder) (platform.WorkerReport, error) {
	const drift = 0.02
	l.mu.Lock()
	if at, ok := l.answered[w.Boot]; ok && o.LeaseUntil > 0 {
		o.LeaseUntil += time.Duration(2 * drift * float64(time.Since(at))).Milliseconds()
	}
	l.mu.Unlock()
	r, err := l.Workers.RenewLeases(ctx, w, o)
	if err == nil {
		l.mu.Lock()
		l.answered[w.Boot] = time.Now()
		l.mu.Unlock()
	}
	return r, err
}
