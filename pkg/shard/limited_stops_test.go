package shard_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// limitedStops checks that no stop at a worker that stays ends a task while another one of its step, which lets
// one be missing, has been ended by a stop and is not back.
type limitedStops struct {
	away   map[string]bool // tasks that were ended by a stop
	ending map[string]bool // boots that have announced their end
}

func (l *limitedStops) started(task string) {
	if l != nil {
		delete(l.away, task)
	}
}

func (l *limitedStops) ended(w *observer, boot, task string) {
	if l == nil {
		return
	}
	if len(l.away) > 0 && !l.ending[boot] {
		w.violated("%s is ended by a stop at %s while %d others are", task, boot, len(l.away))
	}
	l.away[task] = true
}

// stopsBesideEnds runs random scenarios in which VMs are drained for waves, their workers are cut off for about a
// second, and others with tasks of the same step announce their end.
func stopsBesideEnds(t *rapid.T) {
	e := newTestCluster(t)
	defer e.close()
	l := &limitedStops{away: map[string]bool{}, ending: map[string]bool{}}
	e.observer.limitedStops = l
	e.addWorkers(8, "1000")
	e.startOwner("a")
	e.submit("a", "", "j1", "5x1000/0s+apart:1,miss:1")
	time.Sleep(4 * time.Second)
	for range rapid.IntRange(3, 5).Draw(t, "rounds") {
		busy := e.busyWorkers()
		if len(busy) < 3 {
			break
		}
		first := rapid.IntRange(0, len(busy)-1).Draw(t, "drained")
		drained, other := busy[first], busy[(first+rapid.IntRange(1, len(busy)-1).Draw(t, "ending"))%len(busy)]
		cut := time.Duration(rapid.IntRange(0, 1800).Draw(t, "cut off for")) * time.Millisecond
		lost := rapid.SampledFrom([]fake.Fault{fake.FaultLostBefore, fake.FaultLostAfter}).Draw(t, "lost")
		e.loseOrders(drained.Boot, lost)
		time.AfterFunc(cut, func() { e.loseOrders(drained.Boot, fake.FaultNone) })
		time.AfterFunc(time.Duration(rapid.IntRange(0, 900).Draw(t, "ends at"))*time.Millisecond, func() {
			e.locked(func() { l.ending[other.Boot] = true })
			e.workers.AnnounceEnd(other.Boot, 2*time.Second)
			time.AfterFunc(2*time.Second, func() { e.workers.Crash(other.Boot) })
		})
		for until := time.Now().Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "drained for")) * time.Second); time.Now().Before(until); {
			if e.owners["a"].DrainVM(drained.VM, 0) {
				break
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
	}
	if v := e.observer.violations; len(v) > 0 {
		t.Fatalf("%v", v)
	}
}

// busyWorkers returns the listed workers with tasks.
func (e *testCluster) busyWorkers() (busy []platform.Worker) {
	for _, w := range e.directory() {
		if len(e.workers.Running(w.Boot)) > 0 {
			busy = append(busy, w)
		}
	}
	return busy
}

// loseOrders has stops and polls of a boot fail.
func (e *testCluster) loseOrders(boot string, f fake.Fault) {
	e.locked(func() {
		for _, op := range []fake.OrderOp{fake.OrderStop, fake.OrderRenew} {
			key := string(op) + " " + boot + " *"
			delete(e.faults, key)
			if f != fake.FaultNone {
				e.faults[key] = f
			}
		}
	})
}

// TestStopsBesideEnds guards against a stop that ends a task beyond its step's limit, since it is sent as it was decided
// earlier.
func TestStopsBesideEnds(t *testing.T) { prop.Check(t, stopsBesideEnds) }
