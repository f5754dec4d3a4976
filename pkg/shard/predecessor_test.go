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

// handover is how long after a takeover a task starts that was waiting before it, beside a
// predecessor that goes on.
func handover(t *testing.T, set func(*testCluster)) (after time.Duration) {
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
		for after = time.Since(from); after < 5*time.Second && e.begun() < 2; after = time.Since(from) {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		qt.Check(t, e.witness.promises(), qt.Equals, "kept\n")
	})
	return after
}

// begun is how many tasks were started so far.
func (e *testCluster) begun() (n int) {
	e.locked(func() { n = e.witness.starts })
	return n
}

// TestWaitForPredecessor holds how long what was kept before a takeover waits for its predecessor:
// 1.6 s at most, of which 1.56 for its right, and no longer than the task before takes where that one
// has ended, or stands down when it is told to.
func TestWaitForPredecessor(t *testing.T) {
	c := qt.New(t)
	inSilence := handover(t, func(*testCluster) {})
	c.Check(inSilence > shard.ConfirmedFor, qt.IsTrue, qt.Commentf("%s", inSilence))
	c.Check(inSilence < 1600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", inSilence))
	ended := handover(t, func(e *testCluster) {
		e.owners["a"].Close()
		e.setOwner("a", nil)
	})
	c.Check(ended < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s", ended))
	told := handover(t, func(e *testCluster) {
		e.standDown = func(context.Context, shard.OwnerRow, platform.Row) bool {
			e.owners["a"].Close()
			return true
		}
	})
	c.Check(told < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s", told))
}
