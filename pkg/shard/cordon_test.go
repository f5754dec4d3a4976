package shard_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// workersOfOnePart are worker IDs that belong to one part of the record of leased workers.
var workersOfOnePart = []string{"w1", "w51", "w139", "w142", "w351", "w362"}

// cordons runs random scenarios in which VMs are drained and most of these drains are given up, while workers of the
// same part of the record come and go, the table service fails and owners are replaced.
func cordons(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newScenario(t, inject)
		defer m.e.close()
		m.names = workersOfOnePart
		m.bootAll(3)
		m.takeOver()
		kinds := []func(){m.submit, m.submitLong, m.drainVM, m.giveUpDrain, m.giveUpDrain, m.giveUpDrain, m.replaceOwnerOfCutOff, m.replaceOwnerOfCutOff, m.replaceOwnerOfCutOff, m.boot, m.crash, m.takeOver, m.handOver, m.startConcurrentOwner, m.cutOff, m.orderFault, m.rowFault, m.clearFaults}
		for range rapid.IntRange(3, 14).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.pause(1, 2500, "pause")
		}
		m.bootAll(3) // room for what waits
		m.finish()
	}
}

// drainVM asks the owner once or several times to drain a VM. It checks that one that is reported as empty has no task,
// and mostly leaves that VM where it is.
func (m *scenario) drainVM() {
	listed := m.e.directory()
	if len(listed) == 0 {
		return
	}
	w := listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")]
	for range rapid.IntRange(1, 4).Draw(m.t, "calls") {
		owner := m.e.owners[m.currentOwner]
		if owner == nil {
			return
		}
		if owner.DrainVM(w.VM, 0) {
			m.checkEmpty(w)
			if rapid.IntRange(0, 3).Draw(m.t, "leaves") == 0 {
				m.e.workers.Crash(w.Boot)
				return
			}
		}
		m.pause(1, 400, "until asked again")
	}
}

// checkEmpty checks that no task runs at a worker whose VM was reported as empty.
func (m *scenario) checkEmpty(w platform.Worker) {
	if running := m.e.workers.Running(w.Boot); len(running) > 0 {
		m.e.locked(func() {
			m.e.observer.violated("%s was reported as empty while %s run there", w.VM, strings.Join(running, ", "))
		})
	}
}

// giveUpDrain asks the owner once to drain a VM with work, and changes another worker of its part before the cordon ends.
func (m *scenario) giveUpDrain() {
	m.clearFaults()
	m.jobs++
	m.submitJob(jobID(m.jobs), "6x1500/700ms")
	m.pause(50, 400, "until drained")
	listed, owner := m.e.directory(), m.e.owners[m.currentOwner]
	if len(listed) == 0 || owner == nil {
		return
	}
	owner.DrainVM(listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].VM, 0)
	m.pause(700, 3000, "until a worker changes")
	rapid.SampledFrom([]func(){m.boot, m.boot, m.crash}).Draw(m.t, "change")()
	m.pause(1000, 4500, "until the cordon is over")
}

// replaceOwnerOfCutOff replaces the owner while a worker with tasks can't be reached.
func (m *scenario) replaceOwnerOfCutOff() {
	m.clearFaults()
	m.jobs++
	m.submitJob(jobID(m.jobs), "6x1000/9s")
	m.pause(10, 500, "until cut off")
	busy := slices.DeleteFunc(m.e.directory(), func(w platform.Worker) bool { return len(m.e.workers.Running(w.Boot)) == 0 })
	if len(busy) == 0 {
		return
	}
	m.e.cutOff(busy[rapid.IntRange(0, len(busy)-1).Draw(m.t, "cut off")].Boot, "*")
	rapid.SampledFrom([]func(){m.takeOver, m.handOver, m.startConcurrentOwner}).Draw(m.t, "replaced by")()
}

// TestCordons guards against starting tasks at workers that the stored record of leased workers lacks.
func TestCordons(t *testing.T) { prop.Check(t, cordons(nil)) }

// TestCordonsDetectsFaults checks that it detects a record that lacks a worker whose drain was given up.
func TestCordonsDetectsFaults(t *testing.T) {
	qt.Assert(t, prop.FindsFailure(t, cordons(func(e *testCluster) {
		e.wrapRows = func(r platform.Rows) platform.Rows { return withoutWorker{Rows: r, boot: workersOfOnePart[0]} }
	})), qt.IsTrue)
}

// withoutWorker leaves a worker out of the record of leased workers as it is written.
type withoutWorker struct {
	platform.Rows
	boot string
}

func (r withoutWorker) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	txn.Put = slices.Clone(txn.Put)
	for i := range txn.Put {
		if put := &txn.Put[i]; put.Table == "workers" && strings.HasPrefix(put.Key, "part") {
			put.Value = r.without(put.Value)
		}
	}
	return r.Rows.CommitRows(ctx, txn)
}

// without returns a part of the record without the worker.
func (r withoutWorker) without(raw []byte) []byte {
	var set []map[string]any
	if err := msgpack.Unmarshal(raw, &set); err != nil {
		panic(err)
	}
	set = slices.DeleteFunc(set, func(w map[string]any) bool { return w["b"] == r.boot })
	raw, err := msgpack.Marshal(set)
	if err != nil {
		panic(err)
	}
	return raw
}

// TestWorkersOfOnePart checks that the workers of these scenarios share a row of the record.
func TestWorkersOfOnePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestCluster(t)
		defer e.close()
		for _, name := range workersOfOnePart {
			e.addWorker(name, name, name, "4000", "0")
		}
		qt.Assert(t, e.startOwner("a"), qt.Equals, "term 1\n")
		time.Sleep(time.Second)
		page, err := e.rows.As(fake.Operator).ListRows(context.Background(), "workers", pool, "part")
		qt.Assert(t, err, qt.IsNil)
		rows := slices.DeleteFunc(page.Rows, func(r platform.Row) bool { return !strings.HasPrefix(r.Key, "part") })
		qt.Check(t, rows, qt.HasLen, 1)
	})
}
