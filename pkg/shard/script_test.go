package shard_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TestScripts runs each script of testdata in virtual time.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			e := newTestCluster(t)
			defer e.close()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return e.run(d) })
		})
	})
}

// run carries out one command of a script and returns what it prints.
func (e *testCluster) run(d *datadriven.TestData) string {
	c := scriptCall{testCluster: e, d: d}
	for _, commands := range []map[string]func(scriptCall){workerCommands, ownerCommands, faultCommands} {
		if do := commands[d.Cmd]; do != nil {
			do(c)
			return ""
		}
	}
	if print := printingCommands[d.Cmd]; print != nil {
		return print(c)
	}
	e.t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

// unfinished returns the jobs that have not ended, but for long-running ones that run.
func (e *testCluster) unfinished(entry string) string {
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(e.observer.steps)) {
		state, call := e.owners[entry].State(id, shard.Requester{Operator: true})
		if state == jobs.StateRunning && strings.Contains(e.observer.steps[id], "/0s") {
			continue
		}
		if !state.Final() {
			fmt.Fprintf(&out, "%s: %s %s\n", id, call, state)
		}
	}
	return out.String()
}

// runningTasks returns the tasks that run at each worker, without those of draining ones that run none.
func (e *testCluster) runningTasks() string {
	var out strings.Builder
	for _, w := range e.directory() {
		if w.Draining && len(e.workers.Running(w.Boot)) == 0 {
			continue
		}
		fmt.Fprintf(&out, "%s: %s\n", w.Boot, strings.Join(e.workers.Running(w.Boot), " "))
	}
	return out.String()
}

// withDraining returns a list of workers in which one is draining.
func withDraining(listed []platform.Worker, boot string) []platform.Worker {
	listed = slices.Clone(listed)
	for i := range listed {
		listed[i].Draining = listed[i].Draining || listed[i].Boot == boot
	}
	return listed
}

// state returns an owner's answer about the state of a job.
func (e *testCluster) state(entry, id string, by shard.Requester) string {
	state, out := e.owners[entry].State(id, by)
	return fmt.Sprintf("%s %s\n", out, state)
}

// limited returns what an owner reports of steps with limited tasks on VMs of open waves.
func (e *testCluster) limited(entry string) string {
	l, ok := e.owners[entry].Load(false)
	if !ok {
		return "not known\n"
	}
	var out strings.Builder
	for _, s := range l.Limited {
		fmt.Fprintf(&out, "%s: %d of %d missing, tasks on %s\n", s.Step, s.Missing, s.Places, strings.Join(s.VMs, " "))
	}
	fmt.Fprintf(&out, "draining: %s\n", strings.Join(l.Draining, " "))
	return out.String()
}

// demand returns how an owner's load is made up and which VMs will be empty soonest.
func (e *testCluster) demand(entry string) string {
	l, ok := e.owners[entry].Load(false)
	if !ok {
		return "not known\n"
	}
	var out strings.Builder
	fmt.Fprintf(&out, "guaranteed %d, excess %d, late %d, arriving %d, of them excess %d\n", l.Held.Guaranteed.CPU, l.Held.Excess.CPU, l.Held.Late.CPU, l.Arriving.CPU, l.ArrivingExcess.CPU)
	fmt.Fprintf(&out, "light: %s\n", strings.Join(l.Light, " "))
	for _, v := range l.Ending {
		fmt.Fprintf(&out, "%s: %d ms left\n", v.VM, v.LeftMs)
	}
	return out.String()
}

// accounts returns what an owner reports of client accounts.
func (e *testCluster) accounts(entry string) string {
	l, ok := e.owners[entry].Load(true)
	if !ok {
		return "not known\n"
	}
	var out strings.Builder
	fmt.Fprintf(&out, "holder %d, grant %d, bound %v\n", l.Accounts.Term, l.Accounts.Seq, l.Accounts.Enforced)
	slices.SortFunc(l.Accounts.Accounts, func(a, b quota.Usage) int { return strings.Compare(a.Account, b.Account) })
	for _, u := range l.Accounts.Accounts {
		fmt.Fprintf(&out, "%s: running %.2f, wanted %.2f, step %.2f, share %.2f\n", u.Account, u.Running, u.Demand, u.MinStart, u.MaxShare)
	}
	return out.String()
}
