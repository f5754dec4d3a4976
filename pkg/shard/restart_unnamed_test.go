package shard_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// unnamedRestarts runs random scenarios in which a worker restarts under the same ID, and long tasks start there after
// the session of the boot has ended, or with an owner whose record does not name it.
func unnamedRestarts(t *rapid.T) {
	m := newRestartScenario(t, nil)
	e := m.e
	defer e.close()
	for _, w := range e.directory() {
		id, _ := platform.ParseBootID(w.Boot)
		e.machines = append(e.machines, platform.Machine{VM: w.VM, Worker: id, Pool: pool, State: platform.MachineUp})
	}
	m.takeOver()
	time.Sleep(rapid.SampledFrom([]time.Duration{time.Second, 8 * time.Second, time.Minute}).Draw(t, "up for"))
	for range rapid.IntRange(1, 3).Draw(t, "steps") {
		m.restartUnnamed()
		m.pauseSome()
	}
	m.pause(1, 14_000, "until heard")
	m.clearFaults()
	time.Sleep(maxLeaseOfScripts)
	if got := e.observer.invariants(); got != "kept\n" {
		t.Fatalf("violated: %s\n%s", got, e.log.String())
	}
}

// maxLeaseOfScripts exceeds the longest lease of the stand-in, so that a task which runs twice is seen to.
const maxLeaseOfScripts = 20 * time.Second

// restartUnnamed restarts a worker among short tasks, missing rows and replacements of the owner, starts long tasks, and
// cuts the worker off.
func (m *scenario) restartUnnamed() {
	m.clearFaults()
	m.submitShort() // has clocks read
	m.pauseSome()
	listed := m.e.directory()
	worker, _ := platform.ParseBootID(listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot)
	listAfter := rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 3 * time.Second}).Draw(m.t, "listed after")
	m.beforeCut()
	m.e.restart(worker, rapid.Bool().Draw(m.t, "silent"), listAfter)
	for range 3 {
		m.beforeCut()
	}
	m.submitLasting()
	m.pause(1, rapid.SampledFrom([]int{5, 400}).Draw(m.t, "longest pause"), "pause")
	m.e.cutOffWorker(worker, rapid.SampledFrom([]string{"*", m.currentOwner}).Draw(m.t, "entry"))
	m.pauseSome()
	m.beforeCut()
}

// beforeCut does one thing that may make an owner forget what was known of a boot.
func (m *scenario) beforeCut() {
	kinds := []func(){m.loseRow, m.submitShort, m.submitShort, m.takeOver, m.handOver, m.startConcurrentOwner, func() {}}
	kinds[rapid.IntRange(0, len(kinds)-1).Draw(m.t, "kind")]()
	m.pause(1, rapid.SampledFrom([]int{5, 400, 2500}).Draw(m.t, "longest pause"), "pause")
}

// loseRow has a worker's row missing for a moment.
func (m *scenario) loseRow() {
	listed := m.e.directory()
	w := listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")]
	m.e.locked(func() {
		m.e.listed = slices.DeleteFunc(slices.Clone(m.e.listed), func(o platform.Worker) bool { return o.Boot == w.Boot })
	})
	m.e.publish()
	m.pause(1, 300, "missing for")
	id, _ := platform.ParseBootID(w.Boot)
	w.Boot = m.e.workers.CurrentBoot(id)
	m.e.list(w)
}

// TestUnnamedRestarts checks that nothing runs twice after a restart that the next owner can't know of.
func TestUnnamedRestarts(t *testing.T) { prop.Check(t, unnamedRestarts) }

// TestUnnamedRestartSeeds checks cases that need a particular course.
func TestUnnamedRestartSeeds(t *testing.T) {
	for _, seed := range []uint64{497, 805632, 7954232} {
		prop.CheckSeed(t, seed, unnamedRestarts)
	}
}
