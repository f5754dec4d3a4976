package shard_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// scriptCall is one command of a script with its arguments.
type scriptCall struct {
	*testCluster
	d *datadriven.TestData
}

// arg returns the value of an argument, or another one if it is not given.
func (c scriptCall) arg(key, other string) string {
	for _, a := range c.d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return other
}

// number returns the value of an argument as a number.
func (c scriptCall) number(key, other string) int {
	n, err := strconv.Atoi(c.arg(key, other))
	if err != nil {
		c.t.Fatal(err)
	}
	return n
}

// float returns the value of an argument as a number that need not be whole.
func (c scriptCall) float(key, other string) float64 {
	f, err := strconv.ParseFloat(c.arg(key, other), 64)
	if err != nil {
		c.t.Fatal(err)
	}
	return f
}

// duration returns the value of an argument as a duration, 0 if it is not given.
func (c scriptCall) duration(key string) time.Duration { return c.parseDuration(c.arg(key, "0s")) }

// length returns the first argument, a duration without a name.
func (c scriptCall) length() time.Duration { return c.parseDuration(c.d.CmdArgs[0].Key) }

func (c scriptCall) parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		c.t.Fatal(err)
	}
	return d
}

func (c scriptCall) boot() string { return c.arg("boot", "") }

func (c scriptCall) entry() string { return c.arg("entry", "a") }

func (c scriptCall) owner() *shard.Owner { return c.owners[c.entry()] }

func (c scriptCall) requester() shard.Requester {
	return shard.Requester{Account: c.arg("account", ""), Operator: c.arg("operator", "") != ""}
}

// workerCommands change workers and the directory; they print nothing.
var workerCommands = map[string]func(scriptCall){
	"publish":           func(c scriptCall) { c.publish() }, // the directory sends the whole list after any change
	"cold":              func(c scriptCall) { c.cold(c.boot(), c.duration("left"), c.float("speed", "1")) },
	"zone-out":          func(c scriptCall) { c.zones.evacuate(c.arg("zone", "")) },
	"zone-back":         func(c scriptCall) { c.zones.restore(c.arg("zone", "")) },
	"takes-all":         func(c scriptCall) { c.workers.SetAllowOvercommit(true) },
	"vanish":            func(c scriptCall) { c.workers.Forget(c.boot(), c.arg("task", "")) },
	"fail-long-running": func(c scriptCall) { c.workers.FailLongRunning(c.boot()) },
	"crash":             func(c scriptCall) { c.workers.Crash(c.boot()) },
	"same-id":           func(c scriptCall) { c.keepWorkerIDs = true },
	"stop-time":         func(c scriptCall) { c.stopTime = c.length() },
	"back":              func(c scriptCall) { c.crashRestartDelay = c.length() },
	"dark":              func(c scriptCall) { c.workers.SetBlackhole(true) },
	"room":              func(c scriptCall) { c.resize(c.boot(), c.number("cpu", "0")) },
	"allow":             func(c scriptCall) { c.allowed = append(c.allowed, c.boot()) },
	"list": func(c scriptCall) {
		boot, capacity := c.boot(), platform.Resources{CPU: c.number("cpu", "0"), MemoryMB: 1 << 20}
		c.list(platform.Worker{Boot: boot, VM: boot, Pool: pool, Address: boot, Capacity: capacity})
	},
	"unlist": func(c scriptCall) {
		c.locked(func() {
			c.listed = slices.DeleteFunc(slices.Clone(c.listed), func(w platform.Worker) bool { return w.Boot == c.boot() })
		})
		c.publish()
	},
	"drain": func(c scriptCall) {
		c.locked(func() { c.listed = withDraining(c.listed, c.boot()) })
		c.publish()
	},
	"announce-end": func(c scriptCall) { c.workers.AnnounceEnd(c.boot(), c.duration("after")) },
	"restart": func(c scriptCall) {
		c.clockBehind = c.duration("clock-back")
		c.restart(c.arg("worker", ""), c.arg("silent", "") != "", c.duration("listed-after"))
	},
	"machine": func(c scriptCall) {
		m := platform.Machine{VM: c.arg("vm", ""), Worker: c.boot(), Pool: c.arg("pool", pool), State: platform.MachineUp}
		c.machines = append(c.machines, m)
	},
	"machines-incomplete": func(c scriptCall) { c.machinesIncomplete = true },
	"stall": func(c scriptCall) {
		boot := c.boot()
		c.workers.SetStall(func(b, _ string) bool { return boot == "*" || b == boot })
	},
}

// ownerCommands change owners, their entries and accounts; they print nothing.
var ownerCommands = map[string]func(scriptCall){
	"suspendable": func(c scriptCall) {
		c.suspendable[c.entry()] = newSuspendableHost(c.since, c.arg("clock", "") == "steady")
	},
	"suspend": func(c scriptCall) { c.suspendable[c.entry()].suspend() },
	"wake":    func(c scriptCall) { c.suspendable[c.entry()].wake() },
	"kill": func(c scriptCall) {
		c.owner().Close()
		c.setOwner(c.entry(), nil)
	},
	"release": func(c scriptCall) {
		c.owner().Release(context.Background(), "")
		c.setOwner(c.entry(), nil)
	},
	"wave": func(c scriptCall) { c.owner().SetWaveVMs(strings.Split(c.arg("vms", ""), "/")) },
	"limit": func(c scriptCall) {
		c.setAccount(c.arg("account", ""), c.number("cpu", "0"), c.float("weight", "1000"))
	},
	"allowed": func(c scriptCall) {
		c.locked(func() { c.observer.allowed[c.arg("account", "")] = c.number("cpu", "0") })
	},
	"holder": func(c scriptCall) {
		raw, err := shard.EncodeOwner(shard.OwnerRow{Entry: "h", Term: int64(c.number("term", "1"))})
		if err != nil {
			c.t.Fatal(err)
		}
		txn := platform.RowTxn{Put: []platform.Row{{RowKey: platform.RowKey{Table: shard.TableOwner, Partition: allocator, Key: "row"}, Value: raw}}}
		if _, err := c.rows.As(fake.Operator).CommitRows(context.Background(), txn); err != nil {
			c.t.Fatal(err)
		}
	},
	"grant": func(c scriptCall) {
		c.grant(c.entry(), int64(c.number("term", "1")), int64(c.number("seq", "1")), c.arg("account", ""), c.float("share", "0"))
	},
	"wait": func(c scriptCall) {
		time.Sleep(c.length())
		synctest.Wait()
	},
}

// faultCommands bring about faults; they print nothing.
var faultCommands = map[string]func(scriptCall){
	"leave-out":         func(c scriptCall) { c.workers.OmitEnd(c.boot(), int64(c.number("end", "0")), c.number("times", "1")) },
	"late-at-next-boot": func(c scriptCall) { c.workers.SetLateAtNextBoot(c.length()) },
	"list-at-most":      func(c scriptCall) { c.workers.SetMaxListedEnds(c.number("ends", "500")) },
	"crashes": func(c scriptCall) {
		after := c.parseDuration(c.arg("after", "10ms"))
		c.locked(func() { c.crashing[c.arg("task", "")] = after })
	},
	"fail": func(c scriptCall) {
		c.locked(func() { c.failing[c.arg("task", "")] = c.number("times", "1") })
	},
	"corrupt": func(c scriptCall) {
		key := platform.RowKey{Table: c.arg("table", ""), Partition: pool, Key: c.arg("key", "row")}
		c.rows.Corrupt(key, []byte("\xc1 not ours"))
	},
	"fault": func(c scriptCall) {
		key := c.arg("op", "*") + " " + c.arg("at", "*") + " " + c.arg("entry", "*")
		kind, times := c.arg("kind", ""), c.number("times", "0")
		c.locked(func() {
			if kind == "none" {
				delete(c.faults, key)
				return
			}
			c.faults[key], c.faultsLeft[key] = fake.Fault(kind), times
		})
	},
}

// printingCommands return what they print.
var printingCommands = map[string]func(scriptCall) string{
	"worker": func(c scriptCall) string {
		vm := c.arg("vm", c.boot())
		c.zones.put(vm, c.arg("zone", ""))
		return c.addWorker(c.boot(), vm, c.arg("address", c.boot()), c.arg("cpu", "4000"), c.arg("drift", "0"))
	},
	"own": func(c scriptCall) string { return c.startOwner(c.entry()) },
	"submit": func(c scriptCall) string {
		c.schedule = schedule{times: c.number("times", "0"), interval: c.duration("interval")}
		text := strings.ReplaceAll(strings.TrimSpace(c.d.Input), "STEP", c.step)
		return c.submit(c.entry(), c.arg("account", ""), c.arg("id", ""), text)
	},
	"cancel": func(c scriptCall) string {
		return string(c.owner().Cancel(context.Background(), c.arg("id", ""), c.requester())) + "\n"
	},
	"state": func(c scriptCall) string { return c.state(c.entry(), c.arg("id", ""), c.requester()) },
	"waiting": func(c scriptCall) string {
		n, out := c.owner().Waiting(queue, "")
		return fmt.Sprintf("%s %d\n", out, n)
	},
	"load": func(c scriptCall) string {
		l, ok := c.owner().Load(false)
		return fmt.Sprintf("%v: %d workers, room %d, of one %d, used %d, waiting %d\n", ok, l.Workers, l.Capacity.CPU, l.VMCapacity.CPU, l.Used.CPU, l.Waiting.CPU)
	},
	"floor": func(c scriptCall) string {
		l, ok := c.owner().Load(false)
		return fmt.Sprintf("%v: %d\n", ok, l.Floor)
	},
	"arriving": func(c scriptCall) string {
		l, ok := c.owner().Load(false)
		return fmt.Sprintf("%v: %d\n", ok, l.Arriving.CPU)
	},
	"demand":  func(c scriptCall) string { return c.demand(c.entry()) },
	"running": func(c scriptCall) string { return c.runningTasks() },
	"relist":  func(c scriptCall) string { return c.relist(c.boot(), c.arg("vm", ""), c.arg("address", "")) },
	"empty": func(c scriptCall) string {
		return fmt.Sprintf("%v\n", c.owner().DrainVM(c.arg("vm", ""), c.number("rank", "0")))
	},
	"limited":  func(c scriptCall) string { return c.limited(c.entry()) },
	"released": func(c scriptCall) string { return c.releasedStops() },
	"accounts": func(c scriptCall) string { return c.accounts(c.entry()) },
	"check":    func(c scriptCall) string { return c.observer.report() },
	"promises": func(c scriptCall) string { return c.observer.invariants() },
	"resumed":  func(c scriptCall) string { return c.observer.resumed(c.arg("task", "")) },
	"done-again": func(c scriptCall) string {
		most := c.number("most", "0")
		if n := c.observer.startsAfterDone(); n > most {
			return fmt.Sprintf("%d\n", n)
		}
		return fmt.Sprintf("at most %d\n", most)
	},
	"unfinished": func(c scriptCall) string { return c.unfinished(c.entry()) },
	"logged": func(c scriptCall) string {
		return fmt.Sprintf("%d\n", c.log.count(c.arg("event", ""), c.arg("task", "")))
	},
	"lines": func(c scriptCall) string {
		fields := map[string]string{}
		for _, a := range c.d.CmdArgs {
			fields[a.Key] = strings.Join(a.Vals, ",")
		}
		return fmt.Sprintf("%d\n", c.log.countLines(fields))
	},
	"not-empty": func(c scriptCall) string { return c.log.lastNotEmpty(c.boot()) },
	"log":       func(c scriptCall) string { return c.log.String() },
}
