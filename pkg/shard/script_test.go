package shard_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	pool  = "p"
	queue = "q"
)

// estate is a deployment of one pool in virtual time.
type estate struct {
	t        *testing.T
	since    time.Time
	rows     *fake.Rows
	workers  *fake.Workers
	witness  *witness
	listed   []platform.Worker
	machines []platform.Machine
	allowed  []string // boots that the advice service allows; the queue has advice if there are any
	asked    int      // calls for advice
	owners   map[string]*shard.Owner
	faults   map[string]fake.Fault // by "op entry" and "op boot entry", with * for any
	failing  map[string]int        // failures that a task has left
	log      bytes.Buffer
}

// TestScripts plays each file of testdata in virtual time.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			e := newEstate(t)
			defer e.close()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return e.run(d) })
		})
	})
}

func newEstate(t *testing.T) *estate {
	e := &estate{t: t, since: time.Now(), owners: map[string]*shard.Owner{}, faults: map[string]fake.Fault{}, failing: map[string]int{}}
	e.witness = &witness{running: map[string][]string{}, done: map[string]bool{}}
	e.rows = fake.NewRows(4*time.Millisecond, 3*time.Second)
	e.rows.SetFault(func(op fake.RowOp, entry string) fake.Fault { return e.fault("rows", string(op), entry) })
	e.workers = fake.NewWorkers(time.Millisecond, 3*time.Second, 50*time.Millisecond, e.work, e.witness)
	e.workers.SetFault(func(op fake.OrderOp, boot, entry string) fake.Fault { return e.fault(string(op), boot, entry) })
	return e
}

func (e *estate) close() {
	for _, o := range e.owners {
		o.Close()
	}
	for _, w := range e.listed {
		e.workers.Crash(w.Boot)
	}
}

// fault looks for the most particular fault that was set.
func (e *estate) fault(op, what, entry string) fake.Fault {
	for _, key := range []string{op + " " + what + " " + entry, op + " " + what + " *", op + " * " + entry, op + " * *"} {
		if f, ok := e.faults[key]; ok {
			return f
		}
	}
	return fake.FaultNone
}

// work reads what a task does from the job's text, "COUNTxCPU/DURATION" for each step.
func (e *estate) work(task, text string) fake.Work {
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	st, duration := parseStep(strings.Fields(text)[step])
	w := fake.Work{Needs: st.Needs, Duration: duration}
	if e.failing[task] > 0 {
		e.failing[task]--
		w.Fails = true
	}
	return w
}

// parseStep reads "COUNTxCPU/DURATION<AFTER+flags", with a duration of 0 for a long-running step.
func parseStep(s string) (st jobs.Step, duration time.Duration) {
	s, flags, _ := strings.Cut(s, "+")
	s, after, waits := strings.Cut(s, "<")
	if waits {
		n, _ := strconv.Atoi(after)
		st.After = []int{n}
	}
	count, rest, _ := strings.Cut(s, "x")
	cpu, length, _ := strings.Cut(rest, "/")
	st.Count, _ = strconv.Atoi(count)
	st.Needs.CPU, _ = strconv.Atoi(cpu)
	duration, _ = time.ParseDuration(length)
	st.Estimate = duration
	st.LongRunning = duration == 0
	for _, f := range strings.Split(flags, ",") {
		name, value, _ := strings.Cut(f, ":")
		switch name {
		case "gang":
			st.Gang = true
		case "apart":
			st.MaxPerWorker, _ = strconv.Atoi(value)
		case "miss":
			st.MayMiss, _ = strconv.Atoi(value)
			st.Limited = true
		case "copies":
			st.Speculative = true
		}
	}
	return st, duration
}

func (e *estate) catalog() *catalog.Catalog {
	return catalog.New(catalog.Catalog{
		Version: 1,
		Queues:  []catalog.Queue{{Name: queue, Pool: pool, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second, Advice: len(e.allowed) > 0}},
		Pools:   []catalog.Pool{{Name: pool, RejectsOverload: true}},
	})
}

func (e *estate) run(d *datadriven.TestData) string {
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
		return e.addWorker(arg("boot", ""), arg("vm", arg("boot", "")), arg("address", arg("boot", "")), arg("cpu", "4000"), arg("drift", "0"))
	case "unlist":
		e.listed = slices.DeleteFunc(e.listed, func(w platform.Worker) bool { return w.Boot == arg("boot", "") })
		e.publish()
		return ""
	case "drain":
		for i := range e.listed {
			if e.listed[i].Boot == arg("boot", "") {
				e.listed[i].Draining = true
			}
		}
		e.publish()
		return ""
	case "crash":
		e.workers.Crash(arg("boot", ""))
		return ""
	case "own":
		return e.own(entry)
	case "kill":
		e.owners[entry].Close()
		delete(e.owners, entry)
		return ""
	case "release":
		e.owners[entry].Release(context.Background(), "")
		delete(e.owners, entry)
		return ""
	case "submit":
		return e.submit(entry, arg("id", ""), strings.TrimSpace(d.Input))
	case "cancel":
		return string(e.owners[entry].Cancel(context.Background(), arg("id", ""))) + "\n"
	case "state":
		state, out := e.owners[entry].State(arg("id", ""))
		return fmt.Sprintf("%s %s\n", out, state)
	case "waiting":
		n, out := e.owners[entry].Waiting(queue)
		return fmt.Sprintf("%s %d\n", out, n)
	case "fail":
		e.failing[arg("task", "")], _ = strconv.Atoi(arg("times", "1"))
		return ""
	case "fault":
		key := arg("op", "*") + " " + arg("at", "*") + " " + arg("entry", "*")
		if kind := arg("kind", ""); kind == "none" {
			delete(e.faults, key)
		} else {
			e.faults[key] = fake.Fault(kind)
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
		for _, w := range e.listed {
			if w.Draining && len(e.workers.Running(w.Boot)) == 0 {
				continue
			}
			fmt.Fprintf(&out, "%s: %s\n", w.Boot, strings.Join(e.workers.Running(w.Boot), " "))
		}
		return out.String()
	case "relist":
		return e.relist(arg("boot", ""), arg("vm", ""), arg("address", ""))
	case "machine":
		e.machines = append(e.machines, platform.Machine{VM: arg("vm", ""), Boot: arg("boot", ""), Pool: arg("pool", pool), State: platform.MachineUp})
		return ""
	case "stall":
		boot := arg("boot", "")
		e.workers.SetStall(func(b, _ string) bool { return b == boot })
		return ""
	case "allow":
		e.allowed = append(e.allowed, arg("boot", ""))
		return ""
	case "empty":
		return fmt.Sprintf("%v\n", e.owners[entry].Empty(arg("vm", "")))
	case "check":
		return e.witness.report()
	case "log":
		return e.log.String()
	default:
		e.t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
}

func (e *estate) addWorker(boot, vm, address, cpu, drift string) string {
	n, _ := strconv.Atoi(cpu)
	slow, _ := strconv.ParseFloat(drift, 64)
	w := platform.Worker{Boot: boot, VM: vm, Pool: pool, Address: address, Capacity: platform.Resources{CPU: n, MemoryMB: 1 << 20}}
	e.workers.Boot(w, slow)
	e.listed = slices.DeleteFunc(e.listed, func(o platform.Worker) bool { return o.VM == vm })
	e.listed = append(e.listed, w)
	e.publish()
	return ""
}

// ListMachines implements platform.Machines; a script that sets no machine gets those of the directory.
func (e *estate) ListMachines(context.Context) (list []platform.Machine, err error) {
	if e.machines != nil {
		return e.machines, nil
	}
	for _, w := range e.listed {
		list = append(list, platform.Machine{VM: w.VM, Boot: w.Boot, Pool: pool, State: platform.MachineUp})
	}
	return list, nil
}

// MoveMachine implements platform.Machines; owners of shards move nothing.
func (e *estate) MoveMachine(context.Context, string, string, platform.Holder) error {
	return errors.New("not expected")
}

// MaintainMachine implements platform.Machines; owners of shards maintain nothing.
func (e *estate) MaintainMachine(context.Context, string, int, platform.Holder) error {
	return errors.New("not expected")
}

// Advise implements platform.Adviser.
func (e *estate) Advise(_ context.Context, step string, boots []string) (permits []platform.Permit, valid time.Duration, err error) {
	e.asked++
	for _, b := range boots {
		if slices.Contains(e.allowed, b) {
			permits = append(permits, platform.Permit{Boot: b, Ticket: step + "@" + b})
		}
	}
	return permits, time.Second, nil
}

// relist puts the row of an ended boot in place of the present one of its VM, as
// a directory that is out of date does.
func (e *estate) relist(boot, vm, address string) string {
	e.listed = slices.DeleteFunc(e.listed, func(w platform.Worker) bool { return w.VM == vm })
	e.listed = append(e.listed, platform.Worker{Boot: boot, VM: vm, Pool: pool, Address: address, Capacity: platform.Resources{CPU: 1}})
	return ""
}

func (e *estate) publish() {
	for _, o := range e.owners {
		o.SetWorkers(e.listed)
	}
}

func (e *estate) own(entry string) string {
	rows := e.rows.As(entry)
	row, err := shard.ReadOwner(context.Background(), rows, pool)
	if err != nil {
		return err.Error() + "\n"
	}
	cfg := shard.Config{
		Pool: pool, Self: shard.Identity{Entry: entry, Start: int64(len(e.owners)) + 1, Address: entry},
		Rows: rows, Workers: e.workers.As(entry), Machines: e, Adviser: e, Metrics: noMetrics{}, Retention: time.Minute,
		Log: zerolog.New(&e.log).With().Str("entry", entry).Logger(), Since: e.since,
		OnOver: func(error) {}, Sending: func() {},
	}
	o, err := shard.Open(context.Background(), cfg, row.Version, e.catalog(), e.listed)
	if err != nil {
		return err.Error() + "\n"
	}
	e.owners[entry] = o
	return fmt.Sprintf("term %d\n", o.Term())
}

func (e *estate) submit(entry, id, text string) string {
	spec := jobs.Spec{Text: text}
	for _, f := range strings.Fields(text) {
		st, _ := parseStep(f)
		spec.Steps = append(spec.Steps, st)
	}
	if err := spec.Check(); err != nil {
		return err.Error() + "\n"
	}
	return string(e.owners[entry].Submit(context.Background(), id, jobs.Record{Queue: queue, MaxAttempts: 3, Spec: spec})) + "\n"
}

// witness holds the promises against what workers do.
type witness struct {
	running map[string][]string // boots, by task
	done    map[string]bool     // tasks whose done end was acknowledged
	broken  []string
	starts  int
}

// Started implements fake.Witness.
func (w *witness) Started(boot, task string, attempt int64) {
	w.starts++
	if others := w.running[task]; len(others) > 0 {
		w.broken = append(w.broken, fmt.Sprintf("%s attempt %d started at %s while it runs at %s", task, attempt, boot, others))
	}
	if w.done[task] {
		w.broken = append(w.broken, fmt.Sprintf("%s attempt %d started at %s after it was done", task, attempt, boot))
	}
	w.running[task] = append(w.running[task], boot)
}

// Ended implements fake.Witness.
func (w *witness) Ended(boot, task string, _ int64, _ platform.EndReason) {
	w.running[task] = slices.DeleteFunc(w.running[task], func(b string) bool { return b == boot })
}

// Acked implements fake.Witness.
func (w *witness) Acked(_, task string, reason platform.EndReason) {
	if reason == platform.EndDone {
		w.done[task] = true
	}
}

func (w *witness) report() string {
	if len(w.broken) == 0 {
		return fmt.Sprintf("%d starts, nothing broken\n", w.starts)
	}
	return strings.Join(w.broken, "\n") + "\n"
}

type noMetrics struct{}

func (noMetrics) Commit(time.Duration, error) {}
func (noMetrics) Look(error)                  {}
func (noMetrics) Order(error)                 {}
func (noMetrics) End(platform.EndReason)      {}
func (noMetrics) Job(string)                  {}
