package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestReplacedOwnerAtNextBoot guards against a task running twice at the same time: a worker restarts
// after a takeover and forgets the token of the new owner, so the former one can start tasks there.
func TestReplacedOwnerAtNextBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestCluster(t)
		defer e.close()
		e.keepWorkerIDs = true
		e.addWorker("w1", "w1", "w1", "2000", "0")
		e.addWorker("w2", "w2", "w2", "2000", "0")
		c.Assert(e.startOwner("a"), qt.Equals, "term 1\n")
		time.Sleep(time.Second)
		e.addWorker("w3", "w3", "w3", "8000", "0")
		time.Sleep(time.Second)
		c.Assert(e.submit("a", "", "j1", "2x2000/300ms 1x3000/3s<0"), qt.Equals, "ok\n")
		time.Sleep(50 * time.Millisecond)
		c.Assert(e.startOwner("b"), qt.Equals, "term 2\n")
		time.Sleep(50 * time.Millisecond)
		e.locked(func() { e.faults["renew * b"] = fake.FaultLostBefore })
		e.restart("w3", true, 4*time.Second)
		time.Sleep(time.Second)
		e.locked(func() { clear(e.faults) })
		time.Sleep(10 * time.Second)
		c.Check(e.observer.invariants(), qt.Equals, "kept\n")
	})
}

// TestReplacedOwnerAtNextBootDrawn runs a random scenario that showed the same failure.
func TestReplacedOwnerAtNextBootDrawn(t *testing.T) { prop.CheckSeed(t, 94954, restarts(nil)) }
