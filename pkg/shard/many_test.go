//go:build !race

package shard_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// addMany lists n workers at once.
func (e *testCluster) addMany(n int) {
	var all []platform.Worker
	for i := range n {
		name := fmt.Sprintf("i-%010d", i)
		w := platform.Worker{Boot: platform.BootID(name, time.Now().UnixMilli()), VM: "m-" + name[5:], Pool: pool, Address: fmt.Sprintf("10.200.%d.%d:8621", i/250, i%250), Capacity: platform.Resources{CPU: 4000, MemoryMB: 1 << 20}}
		e.workers.Boot(w, 0)
		all = append(all, w)
	}
	e.locked(func() { e.listed = all })
	e.publish()
}

// TestManyWorkers runs a pool whose record of leased workers exceeds one row: its owner stores
// jobs, hands over with a task on each worker, and is replaced, all without a refused transaction.
func TestManyWorkers(t *testing.T) {
	const workers = 3000
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestCluster(t)
		defer e.close()
		e.addMany(workers)
		c.Assert(e.startOwner("a"), qt.Equals, "term 1\n")
		time.Sleep(2 * time.Second)
		c.Assert(e.submit("a", "", "j1", fmt.Sprintf("%dx3000/5s", workers)), qt.Equals, "ok\n")
		time.Sleep(3 * time.Second)
		c.Assert(e.runningAnywhere(), qt.Equals, workers)
		e.owners["a"].Release(context.Background(), "")
		e.setOwner("a", nil)
		c.Assert(e.startOwner("b"), qt.Equals, "term 2\n")
		time.Sleep(time.Second)
		c.Assert(e.submit("b", "", "j2", "1x500/1s"), qt.Equals, "ok\n")
		e.owners["b"].Close()
		e.setOwner("b", nil)
		c.Assert(e.startOwner("c"), qt.Equals, "term 3\n")
		time.Sleep(12 * time.Second)
		c.Check(e.stateOf("c", "j1"), qt.Equals, "ok completed")
		c.Check(e.stateOf("c", "j2"), qt.Equals, "ok completed")
		c.Check(e.observer.invariants(), qt.Equals, "kept\n")
		synctest.Wait()
		c.Check(strings.Contains(e.log.String(), "transaction_refused"), qt.IsFalse)
	})
}

// runningAnywhere counts the running tasks.
func (e *testCluster) runningAnywhere() (n int) {
	for _, w := range e.directory() {
		n += len(e.workers.Running(w.Boot))
	}
	return n
}
