package shard_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// checkpointScenario runs random scenarios of tasks that save checkpoints: short and long-running ones,
// gangs and copies. Workers crash, restart and drain while owners are replaced and the table service fails.
// Workers also either omit ends or attempts from their reports, or fail to answer, but not both, since a
// single report decides on a start that got no answer.
func checkpointScenario(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newRestartScenario(t, inject)
		e := m.e
		defer e.close()
		m.takeOver()
		kinds := []func(){
			m.submitSaving, m.submitSaving, m.submitSaving, m.cancel, m.restart, m.crash, m.boot, m.drain,
			m.takeOver, m.takeOverTwice, m.handOver, m.startConcurrentOwner, m.rowFault, m.clearFaults, m.failTask,
		}
		if rapid.Bool().Draw(t, "short lists") {
			e.workers.SetOmitEvery(rapid.IntRange(2, 5).Draw(t, "short every"))
		} else {
			kinds = append(kinds, m.cutOff, m.orderFault, m.suspendOwner)
		}
		for range rapid.IntRange(4, 14).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.pause(1, 1500, "pause")
		}
		m.cancelLongRunning()
		m.finish()
	}
}

// submitSaving submits a job whose tasks save checkpoints.
func (m *scenario) submitSaving() {
	texts := []string{
		"1x1000/2500ms+saves:200ms", "4x500/1200ms+saves:100ms", "2x1000/3s+gang,saves:300ms",
		"2x1000/2s+copies,saves:150ms", "2x500/0s+saves:250ms", "2x1000/0s+miss:1,saves:250ms",
	}
	m.jobs++
	m.submitJob(jobID(m.jobs), texts[rapid.IntRange(0, len(texts)-1).Draw(m.t, "text")])
}

// drain lists a worker as draining, so that its long-running tasks move.
func (m *scenario) drain() {
	listed := m.e.directory()
	if len(listed) < 2 {
		return
	}
	boot := listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot
	m.e.locked(func() { m.e.listed = withDraining(m.e.listed, boot) })
	m.e.publish()
}

// cutOff keeps one worker from answering any entry until the faults are cleared.
func (m *scenario) cutOff() {
	listed := m.e.directory()
	if len(listed) == 0 {
		return
	}
	m.e.cutOff(listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot, "*")
}

// cutOff has no order of an entry, or of any with "*", reach a boot.
func (e *testCluster) cutOff(boot, entry string) {
	e.locked(func() {
		for _, op := range []fake.OrderOp{fake.OrderStart, fake.OrderStop, fake.OrderRenew} {
			e.faults[string(op)+" "+boot+" "+entry] = fake.FaultLostBefore
		}
	})
}

// takeOverTwice replaces the owner, and its successor within a second.
func (m *scenario) takeOverTwice() {
	m.takeOver()
	m.pause(1, 999, "between")
	m.takeOver()
}

// cancelLongRunning cancels all jobs, since long-running ones never end by themselves, once all faults
// have ended for long enough that an owner hears of it.
func (m *scenario) cancelLongRunning() {
	m.clearFaults()
	m.boot()
	m.takeOver()
	time.Sleep(finishTime)
	for n := 1; n <= m.jobs; n++ {
		m.cancelJob(jobID(n))
	}
}

// TestCheckpoints checks the invariants, among them that no start loses work whose checkpoint came with an
// acknowledged end, while workers, owners and the table service fail.
func TestCheckpoints(t *testing.T) { prop.Check(t, checkpointScenario(nil)) }

// TestCheckpointsDetectsFaults checks that the scenarios detect starts from outdated checkpoints.
func TestCheckpointsDetectsFaults(t *testing.T) {
	inject := func(e *testCluster) {
		mu, first := &sync.Mutex{}, map[string]string{}
		e.wrapWorkers = func(w platform.Workers) platform.Workers {
			return firstCheckpoints{Workers: w, mu: mu, first: first}
		}
	}
	qt.Assert(t, prop.FindsFailure(t, checkpointScenario(inject)), qt.IsTrue)
}
