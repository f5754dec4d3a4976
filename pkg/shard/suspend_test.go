package shard_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// suspendableHost is the machine that an entry runs on. While it is suspended, its monotonic clock
// stops and no calls go out.
type suspendableHost struct {
	since         time.Time
	monotonicOnly bool // injected bug: the clock is the monotonic one, without the suspended time

	mu    sync.Mutex
	from  time.Time // start of the present suspension
	total time.Duration
	awake chan struct{} // closed while it is not suspended
}

func newSuspendableHost(since time.Time, monotonicOnly bool) *suspendableHost {
	m := &suspendableHost{since: since, monotonicOnly: monotonicOnly, awake: make(chan struct{})}
	close(m.awake)
	return m
}

func (m *suspendableHost) clock() *elapsed.Clock {
	return elapsed.New(elapsed.WithSource(
		func() time.Duration { return time.Since(m.since) - m.suspended() },
		func() time.Duration {
			if m.monotonicOnly {
				return 0
			}
			return m.suspended()
		}))
}

// suspended returns how long the machine was suspended so far.
func (m *suspendableHost) suspended() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.from.IsZero() {
		return m.total
	}
	return m.total + time.Since(m.from)
}

func (m *suspendableHost) suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.from, m.awake = time.Now(), make(chan struct{})
}

func (m *suspendableHost) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total += time.Since(m.from)
	m.from = time.Time{}
	close(m.awake)
}

// call makes a call unless the machine is suspended. Then it waits until the machine resumes, and fails.
func (m *suspendableHost) call(do func() error) error {
	m.mu.Lock()
	awake, asleep := m.awake, !m.from.IsZero()
	m.mu.Unlock()
	if asleep {
		<-awake // ignores ctx, whose timer is stopped as well
		return platform.ErrNotDone{Op: "call", Cause: "the machine was suspended"}
	}
	return do()
}

type suspendedRows struct {
	platform.Rows
	m *suspendableHost
}

func (r suspendedRows) CommitRows(ctx context.Context, txn platform.RowTxn) (version int64, err error) {
	err = r.m.call(func() error { version, err = r.Rows.CommitRows(ctx, txn); return err })
	return version, err
}

func (r suspendedRows) ListRows(ctx context.Context, table, partition, from string) (page platform.RowPage, err error) {
	err = r.m.call(func() error { page, err = r.Rows.ListRows(ctx, table, partition, from); return err })
	return page, err
}

type suspendedWorkers struct {
	platform.Workers
	m *suspendableHost
}

func (w suspendedWorkers) StartAttempt(ctx context.Context, ref platform.WorkerRef, o platform.StartOrder) (clock int64, err error) {
	err = w.m.call(func() error { clock, err = w.Workers.StartAttempt(ctx, ref, o); return err })
	return clock, err
}

func (w suspendedWorkers) StopAttempt(ctx context.Context, ref platform.WorkerRef, o platform.StopOrder) (clock int64, err error) {
	err = w.m.call(func() error { clock, err = w.Workers.StopAttempt(ctx, ref, o); return err })
	return clock, err
}

func (w suspendedWorkers) RenewLeases(ctx context.Context, ref platform.WorkerRef, o platform.RenewOrder) (report platform.WorkerReport, err error) {
	err = w.m.call(func() error { report, err = w.Workers.RenewLeases(ctx, ref, o); return err })
	return report, err
}

// suspensions suspends owners while tasks wait for capacity and others take over the shard without
// reaching all of its workers.
func suspensions(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newScenario(t, inject)
		e := m.e
		defer e.close()
		for range rapid.IntRange(1, 2).Draw(t, "workers") {
			m.boots++
			name := fmt.Sprintf("w%d", m.boots)
			e.addWorker(name, name, name, "1000", "0")
		}
		m.takeOver()
		for range rapid.IntRange(1, 3).Draw(t, "dozes") {
			for range rapid.IntRange(2, 4).Draw(t, "jobs") {
				m.jobs++
				text := rapid.SampledFrom([]string{"1x1000/400ms", "1x1000/900ms", "1x1000/9s"}).Draw(t, "text")
				m.submitJob(fmt.Sprintf("%016x", m.jobs), text)
			}
			m.pause(1, 300, "pause")
			m.suspendOwner()
			m.boot()
			m.pause(1, 3000, "awake")
		}
		m.finish()
	}
}

// TestSuspended checks the invariants while the machines of owners are suspended.
func TestSuspended(t *testing.T) { prop.Check(t, suspensions(nil)) }

// TestSuspendedDetectsFaults checks that it detects owners whose clock does not count suspended time.
func TestSuspendedDetectsFaults(t *testing.T) {
	qt.Assert(t, prop.FindsFailureFrom(t, 4, suspensions(func(e *testCluster) { e.monotonicClockOnly = true })), qt.IsTrue)
}
