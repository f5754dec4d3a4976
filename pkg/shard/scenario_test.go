package shard_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gannetwell/gannetwell/pkg/shard"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// finishTime is how long a scenario waits at the end, without faults, for every accepted job to
// become final; it covers leases of former owners, late orders and the work itself.
const finishTime = 60 * time.Second

// scenario draws the events of one run: what happens to the owners and their workers.
type scenario struct {
	t                 *rapid.T
	e                 *testCluster
	currentOwner      string // entry that owns the shard
	accepted          map[string]bool
	jobs              int
	boots             int
	names             []string // of the first workers, in place of numbered ones
	entries           int
	crashingTasks     bool // some tasks crash their worker
	lastingJobs       int  // jobs of submitLasting
	restartsUnderLoad int  // worker restarts that happened while a job was active
}

var rowFaults = []fake.Fault{fake.FaultDown, fake.FaultLostBefore, fake.FaultLostAfter, fake.FaultLate}

// eventOrderSeed varies the order of simultaneous events in drawn scenarios, for manual searches.
var eventOrderSeed = flag.Uint64("salt", 0, "order of simultaneous events in drawn scenarios")

// newScenario returns a scenario on its own testCluster, to which inject, unless nil, adds a bug.
func newScenario(t *rapid.T, inject func(*testCluster)) *scenario {
	e := newTestCluster(t)
	spread := fake.NewJitter(*eventOrderSeed)
	e.rows.SetJitter(spread)
	e.workers.SetJitter(spread)
	if inject != nil {
		inject(e)
	}
	return &scenario{t: t, e: e, accepted: map[string]bool{}}
}

// newRestartScenario returns a scenario with three workers that keep their IDs when they restart.
func newRestartScenario(t *rapid.T, inject func(*testCluster)) *scenario {
	m := newScenario(t, inject)
	m.e.keepWorkerIDs = true
	m.bootAll(3)
	return m
}

// ownerScenario runs a random scenario with faults of all kinds.
func ownerScenario(inject func(*testCluster)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newScenario(t, inject)
		e := m.e
		defer e.close()
		e.workers.SetAllowOvercommit(rapid.Bool().Draw(t, "takes all"))
		m.bootAll(3)
		m.takeOver()
		m.applyLimit()
		steps := rapid.IntRange(3, 14).Draw(t, "steps")
		for range steps {
			m.step()
			m.pause(1, 900, "pause")
		}
		m.finish()
	}
}

// limitedAccount is the account whose jobs may use half of limitedCPU in the pool.
const (
	limitedAccount = "north"
	limitedCPU     = 6000
)

// applyLimit sets the account's limit and the shard's share of it, which stays from then on.
func (m *scenario) applyLimit() {
	m.e.limit(limitedAccount, limitedCPU)
	m.e.grant(m.currentOwner, 1, 1, limitedAccount, 0.5)
	time.Sleep(time.Second)
	m.e.locked(func() { m.e.observer.allowed[limitedAccount] = limitedCPU / 2 })
}

// accountOf returns the account of a job: every other job is of the limited account.
func accountOf(id string) string {
	if id[len(id)-1]%2 == 0 {
		return limitedAccount
	}
	return ""
}

func (m *scenario) step() {
	kinds := []func(){m.submit, m.submit, m.submit, m.cancel, m.resubmit, m.boot, m.crash, m.takeOver, m.handOver, m.startConcurrentOwner, m.orderFault, m.rowFault, m.clearFaults, m.failTask, m.submitCrashing, m.resize, m.suspendOwner}
	kinds[rapid.IntRange(0, len(kinds)-1).Draw(m.t, "kind")]()
}

// pauseOffset separates the scenario's steps from the owners' timers, which fire whole
// milliseconds after a takeover, itself a step of the scenario.
const pauseOffset = 37_100 * time.Nanosecond

// pause waits for a drawn number of milliseconds.
func (m *scenario) pause(least, most int, what string) {
	time.Sleep(time.Duration(rapid.IntRange(least, most).Draw(m.t, what))*time.Millisecond + pauseOffset)
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func (m *scenario) submit() {
	texts := []string{"1x1000/300ms", "3x1000/700ms 2x1500/300ms<0", "4x500/1200ms", "2x2000/400ms 2x2000/400ms<0 1x500/200ms<1"}
	m.jobs++
	m.submitJob(jobID(m.jobs), texts[rapid.IntRange(0, len(texts)-1).Draw(m.t, "text")])
}

// resubmit repeats an earlier submission, as a caller without an answer does.
func (m *scenario) resubmit() {
	if m.jobs == 0 {
		return
	}
	id := jobID(rapid.IntRange(1, m.jobs).Draw(m.t, "job"))
	var text string
	m.e.locked(func() { text = m.e.observer.steps[id] })
	m.submitJob(id, text)
}

func (m *scenario) submitJob(id, text string) {
	if m.e.owners[m.currentOwner] == nil {
		return
	}
	out := schema.CallOutcome(strings.TrimSpace(m.e.submit(m.currentOwner, accountOf(id), id, text)))
	m.e.locked(func() {
		before, known := m.e.observer.refused[id]
		m.e.observer.refused[id] = (before || !known) && (out == schema.CallOutcomeRefused || out == schema.CallOutcomeNotOwner)
	})
	if out == schema.CallOutcomeOk {
		m.accepted[id] = true
	}
}

func (m *scenario) cancel() {
	if m.jobs == 0 || m.e.owners[m.currentOwner] == nil {
		return
	}
	m.cancelJob(jobID(rapid.IntRange(1, m.jobs).Draw(m.t, "job")))
}

// cancelJob cancels a job at the current owner.
func (m *scenario) cancelJob(id string) {
	owner := m.e.owners[m.currentOwner]
	if owner == nil {
		return
	}
	state, _ := owner.State(id, shard.Requester{Operator: true})
	if out := owner.Cancel(context.Background(), id, shard.Requester{Operator: true}); out == schema.CallOutcomeOk && !state.Final() {
		m.e.locked(func() { m.e.observer.cancelled[id] = time.Now() })
	}
}

// bootAll starts n workers.
func (m *scenario) bootAll(n int) {
	for range n {
		m.boot()
	}
}

func (m *scenario) boot() {
	m.boots++
	name := fmt.Sprintf("w%d", m.boots)
	if m.boots <= len(m.names) {
		name = m.names[m.boots-1]
	}
	m.e.addWorker(name, name, name, "4000", []string{"0", "0.02"}[m.boots%2])
}

func (m *scenario) crash() {
	listed := m.e.directory()
	if len(listed) < 2 {
		return
	}
	boot := listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot
	m.e.workers.Crash(boot)
	m.e.locked(func() {
		m.e.listed = slices.DeleteFunc(slices.Clone(m.e.listed), func(w platform.Worker) bool { return w.Boot == boot })
	})
	m.e.publish()
}

// takeOver closes the current owner and starts the next one.
func (m *scenario) takeOver() {
	if o := m.e.owners[m.currentOwner]; o != nil {
		o.Close()
		m.e.setOwner(m.currentOwner, nil)
	}
	m.startNextOwner()
}

// handOver releases the shard by plan and starts the next owner.
func (m *scenario) handOver() {
	if o := m.e.owners[m.currentOwner]; o != nil {
		o.Release(context.Background(), "")
		m.e.setOwner(m.currentOwner, nil)
	}
	m.startNextOwner()
}

// startConcurrentOwner starts the next owner while the current one continues, as after a partition.
func (m *scenario) startConcurrentOwner() { m.startNextOwner() }

func (m *scenario) startNextOwner() {
	m.entries++
	name := fmt.Sprintf("e%d", m.entries)
	m.e.suspendable[name] = newSuspendableHost(m.e.since, m.e.monotonicClockOnly)
	if strings.HasPrefix(m.e.startOwner(name), "term") {
		m.currentOwner = name
	}
}

func (m *scenario) orderFault() {
	op := rapid.SampledFrom([]fake.OrderOp{fake.OrderStart, fake.OrderStop, fake.OrderRenew}).Draw(m.t, "order")
	at := "*"
	if listed := m.e.directory(); len(listed) > 0 && rapid.Bool().Draw(m.t, "one") {
		at = listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot
	}
	entry := rapid.SampledFrom([]string{"*", m.currentOwner}).Draw(m.t, "entry")
	fault := rapid.SampledFrom([]fake.Fault{fake.FaultLostBefore, fake.FaultLostAfter, fake.FaultLate}).Draw(m.t, "fault")
	m.e.locked(func() { m.e.faults[string(op)+" "+at+" "+entry] = fault })
}

func (m *scenario) rowFault() {
	op := rapid.SampledFrom([]fake.RowOp{fake.RowCommit, fake.RowList}).Draw(m.t, "call")
	entry := rapid.SampledFrom([]string{"*", m.currentOwner}).Draw(m.t, "entry")
	fault := rapid.SampledFrom(rowFaults).Draw(m.t, "fault")
	m.e.locked(func() { m.e.faults["rows "+string(op)+" "+entry] = fault })
}

func (m *scenario) clearFaults() { m.e.locked(func() { clear(m.e.faults) }) }

func (m *scenario) failTask() {
	if m.jobs == 0 {
		return
	}
	task := fmt.Sprintf("%016x.0.0.0", rapid.IntRange(1, m.jobs).Draw(m.t, "job"))
	times := rapid.IntRange(1, 4).Draw(m.t, "times")
	m.e.locked(func() { m.e.failing[task] = times })
}

// submitCrashing submits a job with a task that crashes each worker that starts it: alone, beside others
// of its step, long-running, with copies, or in a gang.
func (m *scenario) submitCrashing() {
	after := rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, 150 * time.Millisecond}).Draw(m.t, "after")
	texts := []string{"1x1000/300ms", "3x1000/700ms 2x1500/300ms<0", "1x1000/0s", "2x1000/800ms+copies", "2x1000/400ms+gang"}
	m.jobs++
	id := jobID(m.jobs)
	m.e.locked(func() { m.e.crashing[id+".0.0.0"] = after })
	m.submitJob(id, texts[rapid.IntRange(0, len(texts)-1).Draw(m.t, "text")])
}

// resize changes a worker's room, possibly below what runs there.
func (m *scenario) resize() {
	listed := m.e.directory()
	if len(listed) == 0 {
		return
	}
	boot := listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot
	m.e.resize(boot, rapid.SampledFrom([]int{0, 500, 2000, 4000, 6000}).Draw(m.t, "cpu"))
}

// suspendOwner suspends the current owner's machine for up to 20 s; meanwhile another entry may take
// over, possibly unable to reach one worker.
func (m *scenario) suspendOwner() {
	if m.e.owners[m.currentOwner] == nil {
		return
	}
	machine := m.e.suspendable[m.currentOwner]
	machine.suspend()
	m.pause(1, 10_000, "before")
	if rapid.Bool().Draw(m.t, "followed") {
		m.startNextOwner()
		if listed := m.e.directory(); len(listed) > 0 && rapid.Bool().Draw(m.t, "unreached") {
			m.e.cutOff(listed[rapid.IntRange(0, len(listed)-1).Draw(m.t, "worker")].Boot, m.currentOwner)
		}
	}
	m.pause(1, 10_000, "after")
	machine.wake()
}

// finish ends all faults and checks that each accepted job becomes final and no invariant was violated.
func (m *scenario) finish() {
	m.clearFaults()
	m.boot()
	m.takeOver()
	for range 20 {
		if m.e.owners[m.currentOwner] != nil {
			break
		}
		time.Sleep(time.Second)
		m.startNextOwner()
	}
	time.Sleep(finishTime)
	synctest.Wait()
	m.e.mu.Lock()
	defer m.e.mu.Unlock()
	if violations := m.e.observer.violations; len(violations) > 0 {
		m.t.Fatalf("violated: %s\n%s", strings.Join(violations, "\n"), m.e.log.String())
	}
	for id := range m.accepted {
		state, out := m.e.owners[m.currentOwner].State(id, shard.Requester{Operator: true})
		if out != schema.CallOutcomeOk || !state.Final() {
			m.t.Fatalf("job %s is %s %s at the end\n%s", id, out, state, m.e.log.String())
		}
		task := id + ".0.0.0"
		if state == jobs.StateFailed && m.e.observer.failures[task] < maxAttempts && !m.e.observer.mayFailForLosses(task) {
			m.t.Fatalf("job %s failed after %d failures at %d workers, of which it crashed %d\n%s", id,
				m.e.observer.failures[task], m.e.observer.workersLostWith[task], m.e.observer.crashedBy[task], m.e.log.String())
		}
	}
}

// TestOwner checks the invariants over drawn submissions, cancels, crashes, takeovers,
// replacements without notice and lost or late answers.
func TestOwner(t *testing.T) { prop.Check(t, ownerScenario(nil)) }

// TestLimitOfCancelledJob replays a run in which an account exceeded its limit; see
// testdata/limit_counts_cancelled.
func TestLimitOfCancelledJob(t *testing.T) { prop.CheckSeed(t, 4888604, ownerScenario(nil)) }

// TestOwnerDetectsFaults checks that the scenarios detect injected bugs: orders without fencing, ends
// acknowledged before they are stored, transactions without preconditions and forgotten shares.
func TestOwnerDetectsFaults(t *testing.T) {
	for name, inject := range map[string]func(*testCluster){
		"orders without fencing": func(e *testCluster) {
			e.wrapWorkers = func(w platform.Workers) platform.Workers { return unfenced{w} }
		},
		"ends acknowledged too early": func(e *testCluster) {
			e.wrapWorkers = func(w platform.Workers) platform.Workers { return &eagerAcks{Workers: w, last: map[string]int64{}} }
		},
		"transactions without preconditions": func(e *testCluster) {
			e.wrapRows = func(r platform.Rows) platform.Rows { return unconditional{r} }
		},
		"shares forgotten at a takeover": func(e *testCluster) {
			e.wrapRows = func(r platform.Rows) platform.Rows { return withoutShares{r} }
		},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, prop.FindsFailure(t, ownerScenario(inject)), qt.IsTrue) })
	}
}
