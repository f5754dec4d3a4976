package shard_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
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

func (e *testCluster) run(d *datadriven.TestData) string {
	arg := func(key, other string) string {
		for _, a := range d.CmdArgs {
			if a.Key == key && len(a.Vals) > 0 {
				return a.Vals[0]
			}
		}
		return other
	}
	entry := arg("entry", "a")
	switch d.Cmd {
	case "worker":
		e.zones.put(arg("vm", arg("boot", "")), arg("zone", ""))
		return e.addWorker(arg("boot", ""), arg("vm", arg("boot", "")), arg("address", arg("boot", "")), arg("cpu", "4000"), arg("drift", "0"))
	case "publish": // the directory sends the whole list after any change
		e.publish()
		return ""
	case "cold":
		left, err := time.ParseDuration(arg("left", "0s"))
		if err != nil {
			e.t.Fatal(err)
		}
		speed, _ := strconv.ParseFloat(arg("speed", "1"), 64)
		e.cold(arg("boot", ""), left, speed)
		return ""
	case "zone-out":
		e.zones.evacuate(arg("zone", ""))
		return ""
	case "zone-back":
		e.zones.restore(arg("zone", ""))
		return ""
	case "leave-out":
		end, _ := strconv.ParseInt(arg("end", "0"), 10, 64)
		times, _ := strconv.Atoi(arg("times", "1"))
		e.workers.OmitEnd(arg("boot", ""), end, times)
		return ""
	case "list":
		cpu, _ := strconv.Atoi(arg("cpu", "0"))
		boot := arg("boot", "")
		e.list(platform.Worker{Boot: boot, VM: boot, Pool: pool, Address: boot, Capacity: platform.Resources{CPU: cpu, MemoryMB: 1 << 20}})
		return ""
	case "takes-all":
		e.workers.SetAllowOvercommit(true)
		return ""
	case "unlist":
		e.locked(func() {
			e.listed = slices.DeleteFunc(slices.Clone(e.listed), func(w platform.Worker) bool { return w.Boot == arg("boot", "") })
		})
		e.publish()
		return ""
	case "drain":
		e.locked(func() {
			e.listed = withDraining(e.listed, arg("boot", ""))
		})
		e.publish()
		return ""
	case "vanish":
		e.workers.Forget(arg("boot", ""), arg("task", ""))
		return ""
	case "fail-long-running":
		e.workers.FailLongRunning(arg("boot", ""))
		return ""
	case "crash":
		e.workers.Crash(arg("boot", ""))
		return ""
	case "restart":
		after, err := time.ParseDuration(arg("listed-after", "0s"))
		if err != nil {
			e.t.Fatal(err)
		}
		back, err := time.ParseDuration(arg("clock-back", "0s"))
		if err != nil {
			e.t.Fatal(err)
		}
		e.clockBehind = back
		e.restart(arg("worker", ""), arg("silent", "") != "", after)
		return ""
	case "suspendable":
		e.suspendable[entry] = newSuspendableHost(e.since, arg("clock", "") == "steady")
		return ""
	case "suspend":
		e.suspendable[entry].suspend()
		return ""
	case "wake":
		e.suspendable[entry].wake()
		return ""
	case "own":
		return e.startOwner(entry)
	case "kill":
		e.owners[entry].Close()
		e.setOwner(entry, nil)
		return ""
	case "release":
		e.owners[entry].Release(context.Background(), "")
		e.setOwner(entry, nil)
		return ""
	case "submit":
		times, _ := strconv.Atoi(arg("times", "0"))
		interval, _ := time.ParseDuration(arg("interval", "0s"))
		e.schedule = schedule{times: times, interval: interval}
		return e.submit(entry, arg("account", ""), arg("id", ""), strings.ReplaceAll(strings.TrimSpace(d.Input), "STEP", e.step))
	case "cancel":
		return string(e.owners[entry].Cancel(context.Background(), arg("id", ""), shard.Requester{Account: arg("account", "")})) + "\n"
	case "state":
		return e.state(entry, arg("id", ""), shard.Requester{Account: arg("account", ""), Operator: arg("operator", "") != ""})
	case "waiting":
		n, out := e.owners[entry].Waiting(queue)
		return fmt.Sprintf("%s %d\n", out, n)
	case "same-id":
		e.keepWorkerIDs = true
		return ""
	case "back":
		after, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			e.t.Fatal(err)
		}
		e.crashRestartDelay = after
		return ""
	case "dark":
		e.workers.SetBlackhole(true)
		return ""
	case "crashes":
		after, err := time.ParseDuration(arg("after", "10ms"))
		if err != nil {
			e.t.Fatal(err)
		}
		e.locked(func() { e.crashing[arg("task", "")] = after })
		return ""
	case "room":
		cpu, _ := strconv.Atoi(arg("cpu", "0"))
		e.resize(arg("boot", ""), cpu)
		return ""
	case "load":
		l, ok := e.owners[entry].Load(false)
		return fmt.Sprintf("%v: %d workers, room %d, of one %d, used %d, waiting %d\n", ok, l.Workers, l.Capacity.CPU, l.VMCapacity.CPU, l.Used.CPU, l.Waiting.CPU)
	case "arriving":
		l, ok := e.owners[entry].Load(false)
		return fmt.Sprintf("%v: %d\n", ok, l.Arriving.CPU)
	case "demand":
		return e.demand(entry)
	case "corrupt":
		e.rows.Corrupt(platform.RowKey{Table: arg("table", ""), Partition: pool, Key: arg("key", "row")}, []byte("\xc1 not ours"))
		return ""
	case "fail":
		times, _ := strconv.Atoi(arg("times", "1"))
		e.locked(func() { e.failing[arg("task", "")] = times })
		return ""
	case "fault":
		key := arg("op", "*") + " " + arg("at", "*") + " " + arg("entry", "*")
		if kind := arg("kind", ""); kind == "none" {
			e.locked(func() { delete(e.faults, key) })
		} else {
			times, err := strconv.Atoi(arg("times", "0"))
			if err != nil {
				e.t.Fatal(err)
			}
			e.locked(func() { e.faults[key], e.faultsLeft[key] = fake.Fault(kind), times })
		}
		return ""
	case "wait":
		duration, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			e.t.Fatal(err)
		}
		time.Sleep(duration)
		synctest.Wait()
		return ""
	case "running":
		var out strings.Builder
		for _, w := range e.directory() {
			if w.Draining && len(e.workers.Running(w.Boot)) == 0 {
				continue
			}
			fmt.Fprintf(&out, "%s: %s\n", w.Boot, strings.Join(e.workers.Running(w.Boot), " "))
		}
		return out.String()
	case "relist":
		return e.relist(arg("boot", ""), arg("vm", ""), arg("address", ""))
	case "machine":
		e.machines = append(e.machines, platform.Machine{VM: arg("vm", ""), Worker: arg("boot", ""), Pool: arg("pool", pool), State: platform.MachineUp})
		return ""
	case "stall":
		boot := arg("boot", "")
		e.workers.SetStall(func(b, _ string) bool { return boot == "*" || b == boot })
		return ""
	case "allow":
		e.allowed = append(e.allowed, arg("boot", ""))
		return ""
	case "empty":
		rank, _ := strconv.Atoi(arg("rank", "0"))
		return fmt.Sprintf("%v\n", e.owners[entry].DrainVM(arg("vm", ""), rank))
	case "wave":
		e.owners[entry].SetWaveVMs(strings.Split(arg("vms", ""), "/"))
		return ""
	case "limited":
		return e.limited(entry)
	case "limit":
		cpu, _ := strconv.Atoi(arg("cpu", "0"))
		weight, _ := strconv.ParseFloat(arg("weight", "1000"), 64)
		e.setAccount(arg("account", ""), cpu, weight)
		return ""
	case "allowed":
		cpu, _ := strconv.Atoi(arg("cpu", "0"))
		e.locked(func() { e.observer.allowed[arg("account", "")] = cpu })
		return ""
	case "grant":
		term, _ := strconv.ParseInt(arg("term", "1"), 10, 64)
		seq, _ := strconv.ParseInt(arg("seq", "1"), 10, 64)
		share, _ := strconv.ParseFloat(arg("share", "0"), 64)
		e.grant(entry, term, seq, arg("account", ""), share)
		return ""
	case "accounts":
		return e.accounts(entry)
	case "check":
		return e.observer.report()
	case "resumed":
		return e.observer.resumed(arg("task", ""))
	case "done-again":
		most, _ := strconv.Atoi(arg("most", "0"))
		if n := e.observer.startsAfterDone(); n > most {
			return fmt.Sprintf("%d\n", n)
		}
		return fmt.Sprintf("at most %d\n", most)
	case "unfinished":
		return e.unfinished(entry)
	case "promises":
		return e.observer.invariants()
	case "logged":
		return fmt.Sprintf("%d\n", e.log.count(arg("event", ""), arg("task", "")))
	case "log":
		return e.log.String()
	default:
		e.t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
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
