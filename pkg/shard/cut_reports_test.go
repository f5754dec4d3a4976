package shard_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// cutReports runs random scenarios in which workers keep more ends than a report lists, while the table
// service fails, orders are lost or late, workers restart and owners are replaced.
func cutReports(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newRestartScenario(t, inject)
		e := m.e
		defer e.close()
		e.workers.SetMaxListedEnds(rapid.IntRange(1, 6).Draw(t, "listed ends"))
		m.takeOver()
		kinds := []func(){m.submitShort, m.submitShort, m.submitMany, m.submitMany, m.submit, m.cancel, m.restart, m.takeOver, m.handOver, m.startConcurrentOwner, m.orderFault, m.rowFault, m.rowFault, m.clearFaults, m.failTask}
		for range rapid.IntRange(3, 14).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.pause(1, 900, "pause")
		}
		m.finish()
	}
}

// submitMany submits a job of many short tasks.
func (m *scenario) submitMany() {
	texts := []string{"16x500/60ms", "12x500/150ms 4x1000/50ms<0", "24x500/20ms"}
	m.jobs++
	m.submitJob(jobID(m.jobs), texts[rapid.IntRange(0, len(texts)-1).Draw(m.t, "text")])
}

// TestCutReports guards against starting tasks again whose ends a worker keeps beyond those that it lists.
func TestCutReports(t *testing.T) { prop.Check(t, cutReports(nil)) }

// TestCutReportsDetectsFaults checks that it detects an owner that takes each list of ends for complete.
func TestCutReportsDetectsFaults(t *testing.T) {
	qt.Assert(t, prop.FindsFailure(t, cutReports(func(e *testCluster) {
		e.wrapWorkers = func(w platform.Workers) platform.Workers { return allListed{w} }
	})), qt.IsTrue)
}

// allListed claims that each report lists all ends.
type allListed struct{ platform.Workers }

func (l allListed) RenewLeases(ctx context.Context, w platform.WorkerRef, o platform.RenewOrder) (platform.WorkerReport, error) {
	r, err := l.Workers.RenewLeases(ctx, w, o)
	r.MoreEnds = false
	return r, err
}
