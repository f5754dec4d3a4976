package shard_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// mixed combines all faults of workers, calls, tasks and owners. Reports are complete, since a
// single one decides on a start without an answer.
func mixed(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newScenario(t, inject)
		e := m.e
		defer e.close()
		e.keepWorkerIDs = true
		e.workers.SetAllowOvercommit(rapid.Bool().Draw(t, "takes all"))
		e.workers.SetBlackhole(rapid.Bool().Draw(t, "dark"))
		m.bootAll(4)
		m.takeOver()
		m.crashingTasks = rapid.Bool().Draw(t, "crashing tasks")
		kinds := []func(){
			m.submitShort, m.submit, m.submit, m.cancel, m.resubmit, m.failTask, m.submitCrashingIfEnabled, m.restart, m.restart, m.boot, m.crash, m.resize,
			m.takeOver, m.handOver, m.startConcurrentOwner, m.suspendOwner, m.orderFault, m.rowFault, m.clearFaults, m.clearFaults,
		}
		for range rapid.IntRange(4, 18).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.pause(1, 1200, "pause")
		}
		m.finish()
	}
}

// TestMixed checks the invariants with all faults combined.
func TestMixed(t *testing.T) { prop.Check(t, mixed(nil)) }

// TestMixedDetectsFaults checks that mixed detects injected bugs.
func TestMixedDetectsFaults(t *testing.T) {
	for name, inject := range map[string]func(*testCluster){
		"orders without fencing": func(e *testCluster) {
			e.wrapWorkers = func(w platform.Workers) platform.Workers { return unfenced{w} }
		},
		"boots not distinguished": func(e *testCluster) {
			e.wrapWorkers = func(w platform.Workers) platform.Workers { return withoutStartTime{w} }
		},
		"losses forgotten at a takeover": func(e *testCluster) {
			e.wrapRows = func(r platform.Rows) platform.Rows { return withoutLosses{r} }
		},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, prop.FindsFailure(t, mixed(inject)), qt.IsTrue) })
	}
}
