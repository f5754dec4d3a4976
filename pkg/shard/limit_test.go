package shard_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gannetwell/gannetwell/pkg/shard"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// slowLink serializes the calls of an owner to its workers, as a saturated CPU or link does.
type slowLink struct {
	platform.Workers

	mu   sync.Mutex
	cost time.Duration // of one call
	free time.Time     // when the link is free
}

// pass waits until the link has carried a call.
func (l *slowLink) pass(ctx context.Context) error {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.cost)
	wait := l.free.Sub(now)
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return platform.ErrUnknown{Op: "call", Cause: "the link is busy"}
	case <-time.After(wait):
		return nil
	}
}

func (l *slowLink) StartAttempt(ctx context.Context, w platform.WorkerRef, o platform.StartOrder) (int64, error) {
	if err := l.pass(ctx); err != nil {
		return 0, err
	}
	return l.Workers.StartAttempt(ctx, w, o)
}

func (l *slowLink) RenewLeases(ctx context.Context, w platform.WorkerRef, o platform.RenewOrder) (platform.WorkerReport, error) {
	if err := l.pass(ctx); err != nil {
		return platform.WorkerReport{}, err
	}
	return l.Workers.RenewLeases(ctx, w, o)
}

// TestOwnerAtItsLimit checks that an owner that can make only a quarter of the calls that its jobs
// need slows its starts down, so that no lease expires and all jobs are done.
func TestOwnerAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestCluster(t)
		defer e.close()
		link := &slowLink{cost: 6600 * time.Microsecond}
		e.wrapWorkers = func(w platform.Workers) platform.Workers {
			link.Workers = w
			return link
		}
		e.addWorkers(60, "8000")
		e.startOwner("a")
		time.Sleep(3 * time.Second)
		for i := range 200 {
			go e.submit("a", "", fmt.Sprintf("%016x", i), "8x1000/800ms")
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(26 * time.Second)
		synctest.Wait()
		done := 0
		for i := range 200 {
			if state, _ := e.owners["a"].State(fmt.Sprintf("%016x", i), shard.Requester{}); state == "completed" {
				done++
			}
		}
		log := e.log.String()
		t.Logf("%d jobs done, %s, %d leases lapsed, %d starts without an answer, at limit %d times", done, strings.TrimSpace(e.observer.report()),
			strings.Count(log, "leases_lapsed"), strings.Count(log, "start_failed"), strings.Count(log, "owner_at_limit"))
		c.Check(done, qt.Equals, 200)
		c.Check(strings.Count(log, "leases_lapsed"), qt.Equals, 0)
		c.Check(strings.Contains(log, "owner_at_limit"), qt.IsTrue)
		c.Check(e.observer.report(), qt.Equals, "1600 starts, nothing broken\n")
	})
}

// unreachableWorkers fails all connections to some workers.
type unreachableWorkers struct {
	platform.Workers

	mu          sync.Mutex
	unreachable map[string]bool // by boot
}

func (d *unreachableWorkers) isUnreachable(boot string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable[boot]
}

func (d *unreachableWorkers) StartAttempt(ctx context.Context, w platform.WorkerRef, o platform.StartOrder) (int64, error) {
	if d.isUnreachable(w.Boot) {
		<-ctx.Done()
		return 0, platform.ErrNotDone{Op: "start", Cause: "no connection"}
	}
	return d.Workers.StartAttempt(ctx, w, o)
}

func (d *unreachableWorkers) RenewLeases(ctx context.Context, w platform.WorkerRef, o platform.RenewOrder) (platform.WorkerReport, error) {
	if d.isUnreachable(w.Boot) {
		<-ctx.Done()
		return platform.WorkerReport{}, platform.ErrNotDone{Op: "renew", Cause: "no connection"}
	}
	return d.Workers.RenewLeases(ctx, w, o)
}

// TestDarkRackIsNoLimit checks that an owner does not count as saturated when half of its workers are
// unreachable: an order that did not reach its worker is not a slow answer.
func TestDarkRackIsNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestCluster(t)
		defer e.close()
		rack := &unreachableWorkers{unreachable: map[string]bool{}}
		e.wrapWorkers = func(w platform.Workers) platform.Workers {
			rack.Workers = w
			return rack
		}
		e.addWorkers(24, "8000")
		e.startOwner("a")
		time.Sleep(3 * time.Second)
		rack.mu.Lock()
		for i := range 12 {
			rack.unreachable[fmt.Sprintf("w%d", i)] = true
		}
		rack.mu.Unlock()
		for i := range 4 {
			go e.submit("a", "", fmt.Sprintf("%016x", i), "1x6000/300ms")
			time.Sleep(400 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		c.Check(strings.Contains(e.log.String(), "owner_at_limit"), qt.IsFalse)
		c.Check(e.observer.report(), qt.Equals, "4 starts, nothing broken\n")
	})
}
