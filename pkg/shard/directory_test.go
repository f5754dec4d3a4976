package shard_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// The workers of a testCluster, and the directory that lists them.

// boot starts the next boot of a crashed worker.
func (e *testCluster) boot(w platform.Worker) {
	e.locked(func() {
		if e.closed {
			return
		}
		if e.keepWorkerIDs {
			id, _ := platform.ParseBootID(w.Boot)
			w.Boot = platform.BootID(id, time.Now().UnixMilli())
			return
		}
		e.boots++
		name, _, _ := strings.Cut(w.Boot, "-")
		w.Boot = fmt.Sprintf("%s-%d", name, e.boots)
	})
	e.start(w, 0)
}

func (e *testCluster) addWorker(boot, vm, address, cpu, drift string) string {
	n, _ := strconv.Atoi(cpu)
	slow, _ := strconv.ParseFloat(drift, 64)
	if e.keepWorkerIDs {
		boot = platform.BootID(boot, time.Now().UnixMilli())
	}
	w := platform.Worker{Boot: boot, VM: vm, Pool: pool, Address: address, Capacity: platform.Resources{CPU: n, MemoryMB: 1 << 20}}
	e.start(w, slow)
	return ""
}

// start boots a worker and lists it in place of the previous worker of its VM.
func (e *testCluster) start(w platform.Worker, drift float64) {
	w.Zone = e.zones.of(w.VM)
	e.workers.Boot(w, drift)
	e.list(w)
}

// list lists a worker in place of the previous worker of its VM.
func (e *testCluster) list(w platform.Worker) {
	e.locked(func() {
		e.listed = slices.DeleteFunc(slices.Clone(e.listed), func(o platform.Worker) bool { return o.VM == w.VM })
		e.listed = append(e.listed, w)
	})
	e.publish()
}

// restart ends a listed worker and starts it again with the same ID and address. Its connections
// are closed, or with silent just stop answering; its directory row changes after listAfter.
func (e *testCluster) restart(id string, silent bool, listAfter time.Duration) {
	listed := e.directory()
	at := slices.IndexFunc(listed, func(w platform.Worker) bool { return isWorker(w, id) })
	if at < 0 {
		e.t.Fatalf("worker %s is not listed", id)
	}
	w := listed[at]
	if !silent {
		e.workers.CloseConnections(e.workers.CurrentBoot(id))
	}
	w.Boot = platform.BootID(id, time.Now().Add(-e.clockBehind).UnixMilli())
	e.workers.Boot(w, 0)
	time.AfterFunc(listAfter, func() { e.relistRestarted(w) })
}

// isWorker reports whether a directory row is of the worker with an ID, whichever boot.
func isWorker(w platform.Worker, id string) bool {
	worker, _ := platform.ParseBootID(w.Boot)
	return worker == id
}

// relistRestarted lists a restarted boot, unless it has ended in the meantime.
func (e *testCluster) relistRestarted(w platform.Worker) {
	id, _ := platform.ParseBootID(w.Boot)
	if e.workers.CurrentBoot(id) == w.Boot {
		e.list(w)
	}
}

// addWorkers adds n identical workers, named w0, w1 and so on.
func (e *testCluster) addWorkers(n int, cpu string) {
	for i := range n {
		name := fmt.Sprintf("w%d", i)
		e.addWorker(name, name, name, cpu, "0")
	}
}

// relist replaces the row of a VM's present boot by that of an ended one, as an outdated
// directory does.
func (e *testCluster) relist(boot, vm, address string) string {
	e.locked(func() {
		e.listed = slices.DeleteFunc(slices.Clone(e.listed), func(w platform.Worker) bool { return w.VM == vm })
		e.listed = append(e.listed, platform.Worker{Boot: boot, VM: vm, Pool: pool, Address: address, Capacity: platform.Resources{CPU: 1}})
	})
	return ""
}

// directoryDelay is the delay until a worker's directory row shows a change of its capacity.
const directoryDelay = 1500 * time.Millisecond

// resize changes a worker's capacity; the directory shows it after directoryDelay.
func (e *testCluster) resize(boot string, cpu int) {
	capacity := platform.Resources{CPU: cpu, MemoryMB: 1 << 20}
	e.workers.SetCapacity(boot, capacity)
	time.AfterFunc(directoryDelay, func() {
		e.locked(func() {
			e.listed = slices.Clone(e.listed)
			for i := range e.listed {
				if e.listed[i].Boot == boot {
					e.listed[i].Capacity = capacity
				}
			}
		})
		e.publish()
	})
}

// cold makes a worker run tasks at a fraction of their normal speed for a time, as its directory row
// says.
func (e *testCluster) cold(worker string, left time.Duration, speed float64) {
	clockMs := e.workers.SetCold(worker, left, speed)
	e.locked(func() {
		e.listed = slices.Clone(e.listed)
		for i := range e.listed {
			if isWorker(e.listed[i], worker) {
				e.listed[i].ColdLeft, e.listed[i].ClockMs = left, clockMs
			}
		}
	})
	e.publish()
}

// publish sends the directory to all owners.
func (e *testCluster) publish() {
	listed := e.directory()
	for _, o := range e.allOwners() {
		o.SetWorkers(listed)
	}
}

// directory returns the listed boots.
func (e *testCluster) directory() (listed []platform.Worker) {
	e.locked(func() { listed = e.listed })
	return listed
}
