package shard_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
)

// incompleteLists has workers' reports omit ends and running attempts, each at most once, while owners are replaced and workers
// restart. Starts are always answered, since a single report decides on one that is not.
func incompleteLists(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newRestartScenario(t, inject)
		e := m.e
		defer e.close()
		e.workers.SetOmitEvery(rapid.IntRange(2, 5).Draw(t, "short every"))
		m.takeOver()
		kinds := []func(){m.submitShort, m.submit, m.submit, m.cancel, m.restart, m.takeOver, m.handOver, m.rowFault, m.clearFaults, m.failTask}
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.pause(1, 1200, "pause")
		}
		m.finish()
	}
}

// TestShortLists checks the invariants while reports of workers omit ends or running attempts.
func TestShortLists(t *testing.T) { prop.Check(t, incompleteLists(nil)) }
