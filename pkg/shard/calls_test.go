package shard_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gannetwell/gannetwell/pkg/shard"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestRepeatedSubmission checks that a submission repeated while its row is being written gets the
// same outcome as the first.
func TestRepeatedSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newSlowCluster(t)
		defer e.close()
		c.Assert(e.startOwner("a"), qt.Equals, "term 1\n")
		outcomes := make(chan string, 2)
		go func() { outcomes <- e.submit("a", "", "j1", "1x1000/200ms") }()
		time.Sleep(100 * time.Millisecond)
		go func() { outcomes <- e.submit("a", "", "j1", "1x1000/200ms") }()
		c.Check(<-outcomes, qt.Equals, "ok\n")
		c.Check(<-outcomes, qt.Equals, "ok\n")
		time.Sleep(5 * time.Second)
		c.Check(e.observer.report(), qt.Equals, "1 starts, nothing broken\n")
	})
}

// TestNoMemoryForAJob checks that a job is refused that there is no memory for, and one that was accepted before is not.
func TestNoMemoryForAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newSlowCluster(t)
		defer e.close()
		var limit, reserved atomic.Int64
		limit.Store(1 << 20)
		e.reserveMemory = func(n int) (release func(), ok bool) {
			if int64(n) > limit.Load() {
				return nil, false
			}
			reserved.Add(int64(n))
			return func() { reserved.Add(-int64(n)) }, true
		}
		c.Assert(e.startOwner("a"), qt.Equals, "term 1\n")
		outcome := make(chan string, 1)
		go func() { outcome <- e.submit("a", "", "j1", "1x1000/200ms") }()
		time.Sleep(100 * time.Millisecond)
		c.Check(reserved.Load() > 0, qt.IsTrue)
		c.Check(<-outcome, qt.Equals, "ok\n")
		c.Check(reserved.Load(), qt.Equals, int64(0))
		limit.Store(0)
		c.Check(e.submit("a", "", "j2", "1x1000/200ms"), qt.Equals, "refused\n")
		c.Check(e.submit("a", "", "j1", "1x1000/200ms"), qt.Equals, "ok\n")
		limit.Store(1 << 20)
		c.Check(e.submit("a", "", "j2", "1x1000/200ms"), qt.Equals, "ok\n")
	})
}

// TestQueueInSlowService checks that no submission is left without an outcome while each transaction
// takes half a second.
func TestQueueInSlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newSlowCluster(t)
		defer e.close()
		c.Assert(e.startOwner("a"), qt.Equals, "term 1\n")
		outcomes := make(chan string, 20)
		for _, id := range []string{"j0", "j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8", "j9"} {
			go func() { outcomes <- e.submit("a", "", id, "1x100/100ms") }()
			time.Sleep(200 * time.Millisecond)
		}
		for range 10 {
			c.Check(<-outcomes, qt.Equals, "ok\n")
		}
	})
}

// TestHandoverUnderLoad checks that a handover does not wait for a moment without ends: those not
// recorded stay at their workers.
func TestHandoverUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestCluster(t)
		defer e.close()
		for _, boot := range []string{"w1", "w2", "w3", "w4"} {
			e.addWorker(boot, boot, boot, "32000", "0")
		}
		c.Assert(e.startOwner("a"), qt.Equals, "term 1\n")
		const jobCount = 2400
		var mu sync.Mutex
		accepted := map[string]bool{}
		for i := range jobCount {
			id := fmt.Sprintf("%016x", i)
			go func() {
				out := e.submit("a", "", id, "1x50/1s")
				mu.Lock()
				defer mu.Unlock()
				accepted[id] = out == "ok\n"
			}()
			time.Sleep(time.Millisecond / 2)
		}
		started := time.Now()
		e.owners["a"].Release(context.Background(), "")
		took := time.Since(started)
		delete(e.owners, "a")
		c.Check(took < 200*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
		c.Assert(e.startOwner("b"), qt.Equals, "term 2\n")
		time.Sleep(5 * time.Second)
		c.Assert(accepted, qt.HasLen, jobCount)
		taken := 0
		for id, ok := range accepted {
			state, out := e.owners["b"].State(id, shard.Requester{})
			if ok {
				taken++
				c.Check(string(out)+" "+string(state), qt.Equals, "ok completed", qt.Commentf("job %s", id))
			}
		}
		c.Check(taken > jobCount/2, qt.IsTrue, qt.Commentf("%d jobs were accepted", taken))
		c.Check(strings.HasSuffix(e.observer.report(), "nothing broken\n"), qt.IsTrue, qt.Commentf("%s", e.observer.report()))
	})
}

// newSlowCluster has one worker and a table service that takes half a second for each transaction.
func newSlowCluster(t *testing.T) *testCluster {
	e := newTestCluster(t)
	e.rows = fake.NewRows(500*time.Millisecond, time.Second)
	e.addWorker("w1", "w1", "w1", "2000", "0")
	return e
}
