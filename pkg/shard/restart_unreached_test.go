package shard_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// unreachedRestarts runs random scenarios in which workers that have been up for long restart under the same ID
// and are then cut off from owners, while long tasks start and the owner is replaced.
func unreachedRestarts(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newRestartScenario(t, inject)
		e := m.e
		defer e.close()
		m.takeOver()
		time.Sleep(rapid.SampledFrom([]time.Duration{time.Second, 8 * time.Second, time.Minute}).Draw(t, "up for"))
		kinds := []func(){m.restartUnreached, m.restartUnreached, m.submitShort, m.restart, m.cutOffFrom, m.takeOver, m.handOver, m.startConcurrentOwner, m.orderFault, m.clearFaults}
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]()
			m.pauseSome()
		}
		m.finish()
	}
}

// pauseSome waits for a moment, for as long as a worker needs to be noticed, or for some leases.
func (m *scenario) pauseSome() {
	m.pause(1, rapid.SampledFrom([]int{5, 400, 9000}).Draw(m.t, "longest pause"), "pause")
}

// restartUnreached restarts a worker around the start of long tasks and the replacement of the owner, and has it
// hear no owner from some moment on.
func (m *scenario) restartUnreached() {
	m.clearFaults()
	m.submitShort() // has clocks read
	m.pauseSome()
	listed := m.e.directory()
	worker, _ := platform.ParseBootID(listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot)
	listAfter := rapid.SampledFrom([]time.Duration{0, 700 * time.Millisecond, 8 * time.Second}).Draw(m.t, "listed after")
	m.e.restart(worker, rapid.Bool().Draw(m.t, "silent"), listAfter)
	m.submitLasting()
	cut := func() { m.e.cutOffWorker(worker, "*") }
	replace := rapid.SampledFrom([]func(){m.takeOver, m.handOver, m.startConcurrentOwner, func() {}}).Draw(m.t, "replaced by")
	events := []func(){cut, replace}
	if rapid.Bool().Draw(m.t, "replaced first") {
		events = []func(){replace, cut}
	}
	for _, event := range events {
		m.pauseSome()
		event()
	}
	if rapid.Bool().Draw(m.t, "replaced twice") {
		m.pauseSome()
		m.takeOver()
	}
	m.pause(1, 14_000, "until heard")
}

// maxLastingJobs bounds the jobs of submitLasting, which have to end while a scenario waits for its end.
const maxLastingJobs = 3

// submitLasting submits a job whose tasks outlast the longest lease.
func (m *scenario) submitLasting() {
	if m.lastingJobs++; m.lastingJobs > maxLastingJobs {
		return
	}
	texts := []string{"2x1000/14s", "3x2000/14s", "4x1000/14s"}
	m.jobs++
	m.submitJob(jobID(m.jobs), texts[rapid.IntRange(0, len(texts)-1).Draw(m.t, "text")])
}

// cutOffFrom keeps a worker from hearing the present owner, or any.
func (m *scenario) cutOffFrom() {
	listed := m.e.directory()
	if len(listed) == 0 {
		return
	}
	worker, _ := platform.ParseBootID(listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot)
	m.e.cutOffWorker(worker, rapid.SampledFrom([]string{"*", m.currentOwner}).Draw(m.t, "entry"))
}

// TestUnreachedRestarts checks the invariants while workers restart under the same ID and are cut off.
func TestUnreachedRestarts(t *testing.T) { prop.Check(t, unreachedRestarts(nil)) }

// cutOffWorker has no order of an entry, or of any with "*", reach a worker, whichever boot it is addressed to.
func (e *testCluster) cutOffWorker(worker, entry string) {
	e.locked(func() {
		for _, op := range []fake.OrderOp{fake.OrderStart, fake.OrderStop, fake.OrderRenew} {
			e.faults[string(op)+" "+worker+" "+entry] = fake.FaultLostBefore
		}
	})
}
