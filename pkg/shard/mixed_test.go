package shard_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// mixed plays all troubles together: workers that start again under their IDs, crash for good or
// change their room, crashing tasks, calls that are lost or late, owners that are closed, hand over,
// are usurped or suspended. Lists are whole: of a start without an answer one list tells.
func mixed(plant func(*estate)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newMachine(t, plant)
		e := m.e
		defer e.close()
		e.sameID = true
		e.workers.SetTakesAll(rapid.Bool().Draw(t, "takes all"))
		e.workers.SetDark(rapid.Bool().Draw(t, "dark"))
		m.bootAll(4)
		m.takeOver()
		m.mayRuin = rapid.Bool().Draw(t, "crashing tasks")
		kinds := []func(){
			m.short, m.submit, m.submit, m.cancel, m.again, m.fail, m.ruinIf, m.restart, m.restart, m.boot, m.crash, m.resize,
			m.takeOver, m.handOver, m.usurp, m.doze, m.orderFault, m.rowFault, m.heal, m.heal,
		}
		for range rapid.IntRange(4, 18).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.rest(1, 1200, "pause")
		}
		m.settle()
	}
}

// TestMixed holds the promises over all troubles together.
func TestMixed(t *testing.T) { prop.Check(t, mixed(nil)) }

// TestMixedFindsPlanted shows that it finds owners that count on what some of the troubles take away.
func TestMixedFindsPlanted(t *testing.T) {
	for name, plant := range map[string]func(*estate){
		"orders without fencing": func(e *estate) {
			e.breakWorkers = func(w platform.Workers) platform.Workers { return unfenced{w} }
		},
		"boots are not told apart": func(e *estate) {
			e.breakWorkers = func(w platform.Workers) platform.Workers { return bornless{w} }
		},
		"losses forgotten at a takeover": func(e *estate) {
			e.breakRows = func(r platform.Rows) platform.Rows { return lossless{r} }
		},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, prop.FindsFailure(t, mixed(plant)), qt.IsTrue) })
	}
}
