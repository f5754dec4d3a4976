package shard_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// startDelay returns how long after a takeover a task that was waiting before it starts, while the
// predecessor keeps running.
func startDelay(t *testing.T, set func(*testCluster)) (after time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestCluster(t)
		defer e.close()
		e.addWorker("w1", "w1", "w1", "1000", "0")
		qt.Assert(t, e.startOwner("a"), qt.Equals, "term 1\n")
		time.Sleep(time.Second)
		qt.Assert(t, e.submit("a", "", "j1", "1x1000/100ms 1x1000/100ms<0"), qt.Equals, "ok\n")
		time.Sleep(10 * time.Millisecond) // the first task has begun
		e.locked(func() {
			for _, op := range []string{"start", "stop", "renew"} {
				e.faults[op+" * a"] = fake.FaultDown // it is cut off from the workers
			}
		})
		set(e)
		from := time.Now()
		qt.Assert(t, e.startOwner("b"), qt.Equals, "term 2\n")
		for after = time.Since(from); after < 5*time.Second && e.startCount() < 2; after = time.Since(from) {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		qt.Check(t, e.observer.invariants(), qt.Equals, "kept\n")
	})
	return after
}

// startCount returns the number of tasks started so far.
func (e *testCluster) startCount() (n int) {
	e.locked(func() { n = e.observer.starts })
	return n
}

// TestWaitForPredecessor checks that a new owner starts stored jobs once the predecessor's last
// confirmation of ownership has expired, and at once if the predecessor has ended or stood down.
func TestWaitForPredecessor(t *testing.T) {
	c := qt.New(t)
	unnotified := startDelay(t, func(*testCluster) {})
	c.Check(unnotified > shard.ConfirmationTTL, qt.IsTrue, qt.Commentf("%s", unnotified))
	c.Check(unnotified < 1600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", unnotified))
	ended := startDelay(t, func(e *testCluster) {
		e.owners["a"].Close()
		e.setOwner("a", nil)
	})
	c.Check(ended < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s", ended))
	stoodDown := startDelay(t, func(e *testCluster) {
		e.standDown = func(context.Context, shard.OwnerRow, platform.Row) bool {
			e.owners["a"].Close()
			return true
		}
	})
	c.Check(stoodDown < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s", stoodDown))
}
