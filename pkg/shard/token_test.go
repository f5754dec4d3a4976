package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestReplacedOwnerAtNextBoot: a task ran twice at the same time. Order of events: b takes the shard
// over from a, who does not know it yet, and shows each worker its token; w3, which has nothing to do,
// starts again and forgets it; the first step ends, which a hears sooner than b; a starts the second
// one at w3, and so does b. Cause: tokens are all that keeps a from it for the 1.5 s in which it may
// act on its ownership, and they do not outlive a boot. Evidence: worker_clock_fell_back at a, then
// at b, for starts at one boot.
func TestReplacedOwnerAtNextBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newEstate(t)
		defer e.close()
		e.sameID = true
		e.addWorker("w1", "w1", "w1", "2000", "0")
		e.addWorker("w2", "w2", "w2", "2000", "0")
		c.Assert(e.own("a"), qt.Equals, "term 1\n")
		time.Sleep(time.Second)
		e.addWorker("w3", "w3", "w3", "8000", "0")
		time.Sleep(time.Second)
		c.Assert(e.submit("a", "", "j1", "2x2000/300ms 1x3000/3s<0"), qt.Equals, "ok\n")
		time.Sleep(50 * time.Millisecond)
		c.Assert(e.own("b"), qt.Equals, "term 2\n")
		time.Sleep(50 * time.Millisecond)
		e.locked(func() { e.faults["renew * b"] = fake.FaultLostBefore })
		e.restart("w3", true, 4*time.Second)
		time.Sleep(time.Second)
		e.locked(func() { clear(e.faults) })
		time.Sleep(10 * time.Second)
		c.Check(e.witness.promises(), qt.Equals, "kept\n")
	})
}

// TestReplacedOwnerAtNextBootDrawn: a task ran twice at the same time, as in
// TestReplacedOwnerAtNextBoot, in a course that was drawn.
func TestReplacedOwnerAtNextBootDrawn(t *testing.T) { prop.CheckSeed(t, 94954, restarts(nil)) }
