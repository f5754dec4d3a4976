package shard_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/quota"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	pool = "p"
	// allocator is the shard whose owner grants quota shares.
	allocator = "fleet"
	queue     = "q"
	// of the queue
	maxAttempts = 3
)

// testCluster is a deployment of one pool in virtual time.
type testCluster struct {
	// mu guards state that owners and workers read during the test: faults, failing, listed,
	// machines, adviceCalls and the observer.
	mu       sync.Mutex
	t        fataler
	since    time.Time
	rows     *fake.Rows
	workers  *fake.Workers
	observer *observer
	listed   []platform.Worker
	machines []platform.Machine
	// machinesIncomplete has the VM list lack a VM that could not be read.
	machinesIncomplete bool
	allowed            []string // boots that the advice service allows; if empty the queue needs no advice
	ownerStarts        int64    // owners started so far, which number the starts of entries
	// wrapRows and wrapWorkers inject bugs that the tests must detect.
	wrapRows           func(platform.Rows) platform.Rows
	wrapWorkers        func(platform.Workers) platform.Workers
	reserveMemory      func(bytes int) (release func(), ok bool) // nil for no bound
	adviceCalls        int                                       // calls of Advise
	limits             []catalog.Account
	monotonicClockOnly bool                        // suspendable entries have the monotonic clock only
	suspendable        map[string]*suspendableHost // machines of the entries that may be suspended, by entry
	ownersMu           sync.Mutex                  // guards owners
	owners             map[string]*shard.Owner
	closed             bool
	faults             map[string]fake.Fault    // by "op entry" and "op boot entry", with * for any
	faultsLeft         map[string]int           // calls that a fault still affects, 0 or less for all
	failing            map[string]int           // failures that a task has left, by task name
	crashing           map[string]time.Duration // tasks that crash their worker, with the delay after their start
	stopTime           time.Duration            // of the owners' settings
	crashRestartDelay  time.Duration            // how long a crashed worker stays away
	boots              int                      // number of boots started after a crash
	clockBehind        time.Duration            // how far the clock is behind by which workers report their start
	keepWorkerIDs      bool                     // workers report their start time and keep their ID across boots
	zones              zones                    // availability zones of the workers
	schedule           schedule                 // of the next job submitted
	step               string                   // what STEP stands for in the steps of a script's jobs
	standDown          func(ctx context.Context, former shard.OwnerRow, newer platform.Row) bool
	log                sharedLog
	out                io.Writer // destination of the log
}

// sharedLog collects the owners' log lines; safe for concurrent use.
type sharedLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *sharedLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// String returns all lines.
func (l *sharedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// count returns the number of lines of an event about a task.
func (l *sharedLog) count(event, task string) int {
	return l.countLines(map[string]string{"event": event, "task": task})
}

// countLines returns the number of lines that have all the given fields, as printed.
func (l *sharedLog) countLines(fields map[string]string) (n int) {
	for line := range strings.Lines(l.String()) {
		var got map[string]any
		if json.Unmarshal([]byte(line), &got) != nil {
			continue
		}
		has := true
		for key, want := range fields {
			has = has && fmt.Sprint(got[key]) == want
		}
		if has {
			n++
		}
	}
	return n
}

// lastNotEmpty returns what the tasks at a worker wait for, as last logged of a worker that is not
// empty.
func (l *sharedLog) lastNotEmpty(boot string) string {
	var last struct {
		Event     string `json:"event"`
		Boot      string `json:"boot"`
		Finishing int    `json:"finishing"`
		Limited   int    `json:"limited"`
		NoRoom    int    `json:"no_room"`
	}
	found := "never\n"
	for line := range strings.Lines(l.String()) {
		if json.Unmarshal([]byte(line), &last) == nil && last.Event == "worker_not_empty" && last.Boot == boot {
			found = fmt.Sprintf("finishing %d, limited %d, no room %d\n", last.Finishing, last.Limited, last.NoRoom)
		}
	}
	return found
}

// fataler is the part of testing.TB that ends a test.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

func newTestCluster(t fataler) *testCluster {
	e := &testCluster{t: t, crashRestartDelay: defaultCrashRestartDelay, suspendable: map[string]*suspendableHost{}, since: time.Now(), owners: map[string]*shard.Owner{}, faults: map[string]fake.Fault{}, faultsLeft: map[string]int{}, failing: map[string]int{}, crashing: map[string]time.Duration{}}
	e.observer = newObserver(e)
	e.out = &e.log
	e.rows = fake.NewRows(4*time.Millisecond, 3*time.Second)
	e.rows.SetFault(func(op fake.RowOp, entry string) fake.Fault { return e.fault("rows", string(op), entry) })
	e.workers = fake.NewWorkers(time.Millisecond, 3*time.Second, 50*time.Millisecond, e.work, e.observer)
	e.workers.SetFault(func(op fake.OrderOp, boot, entry string) fake.Fault { return e.fault(string(op), boot, entry) })
	e.workers.SetOnCrash(func(w platform.Worker) { time.AfterFunc(e.crashRestartDelay, func() { e.boot(w) }) })
	return e
}

// defaultCrashRestartDelay is how long a crashed worker stays away unless a test says otherwise.
const defaultCrashRestartDelay = 3 * time.Second

func (e *testCluster) close() {
	e.locked(func() { e.closed = true })
	for _, o := range e.allOwners() {
		o.Close()
	}
	for _, w := range e.directory() {
		e.workers.Crash(w.Boot)
	}
}

// locked runs f with the mutex held.
func (e *testCluster) locked(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// fault returns the fault set for a call; the most specific key wins.
func (e *testCluster) fault(op, what, entry string) fake.Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	worker, _ := platform.ParseBootID(what)
	for _, key := range []string{op + " " + what + " " + entry, op + " " + what + " *", op + " " + worker + " " + entry, op + " " + worker + " *", op + " * " + entry, op + " * *"} {
		f, ok := e.faults[key]
		if !ok {
			continue
		}
		if e.faultsLeft[key]--; e.faultsLeft[key] == 0 {
			delete(e.faults, key)
		}
		return f
	}
	return fake.FaultNone
}

// work parses what a task does from the job's text, "COUNTxCPU/DURATION" for each step.
func (e *testCluster) work(task, text string) fake.Work {
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	field := strings.Fields(text)[step]
	st, duration := parseStep(field)
	w := fake.Work{Needs: st.Needs, Duration: duration, SaveEvery: saveInterval(field)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failing[task] > 0 {
		e.failing[task]--
		w.Fails = true
	}
	w.CrashAfter, w.Crashes = e.crashing[task]
	return w
}

// parseStep parses "COUNTxCPU/DURATION<AFTER+flags", with a duration of 0 for a long-running step.
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
			st.MaxUnavailable, _ = strconv.Atoi(value)
			st.HasMaxUnavailable = true
		case "copies":
			st.Speculative = true
		case "saves":
			st.Checkpointing = true
		case "fills":
			st.Filler = true
		case "mem":
			st.Needs.MemoryMB, _ = strconv.Atoi(value)
		}
	}
	return st, duration
}

// saveInterval returns how much work the tasks of a step do between two checkpoints, as given by the
// flag "saves:INTERVAL", 0 for tasks without checkpoints.
func saveInterval(step string) time.Duration {
	_, flags, _ := strings.Cut(step, "+")
	for _, f := range strings.Split(flags, ",") {
		if text, ok := strings.CutPrefix(f, "saves:"); ok {
			every, _ := time.ParseDuration(text)
			return every
		}
	}
	return 0
}

func (e *testCluster) catalog() *catalog.Catalog {
	return catalog.New(catalog.Catalog{
		Version: 1,
		Queues:  []catalog.Queue{{Name: queue, Pool: pool, MaxAttempts: maxAttempts, ServiceLevel: catalog.ServiceLevel{Stretch: 2, TargetLatency: time.Second, UsesAdvice: len(e.allowed) > 0}}},
		Pools:   []catalog.Pool{{Name: pool, RejectsOverload: true}},

		Accounts: e.limits,
	})
}

// ListMachines implements platform.Machines; without machines set it derives them from the directory.
func (e *testCluster) ListMachines(context.Context) (list []platform.Machine, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.machinesIncomplete {
		return e.machines, platform.ErrIncomplete{Op: "list machines", Cause: "a VM can't be read"}
	}
	if e.machines != nil {
		return e.machines, nil
	}
	for _, w := range e.listed {
		id, _ := platform.ParseBootID(w.Boot)
		list = append(list, platform.Machine{VM: w.VM, Worker: id, Pool: pool, State: platform.MachineUp})
	}
	return list, nil
}

// MoveMachine implements platform.Machines; shard owners don't call it.
func (e *testCluster) MoveMachine(context.Context, string, string, platform.Holder) error {
	return errors.New("not expected")
}

// MaintainMachine implements platform.Machines; shard owners don't call it.
func (e *testCluster) MaintainMachine(context.Context, string, int, platform.Holder) error {
	return errors.New("not expected")
}

// Advise implements platform.Adviser.
func (e *testCluster) Advise(_ context.Context, step string, boots []string) (permits []platform.Permit, valid time.Duration, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adviceCalls++
	for _, b := range boots {
		if slices.Contains(e.allowed, b) {
			permits = append(permits, platform.Permit{Boot: b, Ticket: step + "@" + b})
		}
	}
	return permits, time.Second, nil
}

// allOwners returns the current owners, by entry name.
func (e *testCluster) allOwners() []*shard.Owner {
	e.ownersMu.Lock()
	defer e.ownersMu.Unlock()
	var owners []*shard.Owner
	for _, entry := range slices.Sorted(maps.Keys(e.owners)) {
		owners = append(owners, e.owners[entry])
	}
	return owners
}

// setOwner sets the owner that an entry runs, nil for none.
func (e *testCluster) setOwner(entry string, o *shard.Owner) {
	e.ownersMu.Lock()
	defer e.ownersMu.Unlock()
	if o == nil {
		delete(e.owners, entry)
		return
	}
	e.owners[entry] = o
}

func (e *testCluster) startOwner(entry string) string {
	rows, workers := e.rows.As(entry), e.workers.As(entry)
	if e.wrapRows != nil {
		rows = e.wrapRows(rows)
	}
	if e.wrapWorkers != nil {
		workers = e.wrapWorkers(workers)
	}
	clock := elapsed.New(elapsed.WithOrigin(e.since))
	if m := e.suspendable[entry]; m != nil {
		rows, workers, clock = suspendedRows{rows, m}, suspendedWorkers{workers, m}, m.clock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	row, err := shard.ReadOwner(ctx, rows, pool)
	if err != nil {
		return err.Error() + "\n"
	}
	e.ownerStarts++
	cfg := shard.Config{
		Pool: pool, Allocator: allocator, Self: shard.Identity{Entry: entry, Start: e.ownerStarts, Address: entry},
		Rows: rows, Workers: workers, Machines: e, Adviser: e, Metrics: shard.NoMetrics{}, Retention: time.Hour, MaxLease: fake.MaxLease, StopTime: e.stopTime,
		Log: zerolog.New(e.out).With().Str("entry", entry).Logger().Hook(e), Clock: clock,
		StoreUptime: func() time.Duration { return time.Since(e.since) },
		HasEnded:    e.hasEnded, StandDown: e.standDown, ZoneEvacuated: e.zones.reportTo(entry),
		OnGivenUp: func(error) {}, BeforeTakeover: func() {}, ReserveMemory: e.reserveMemory,
	}
	o, err := shard.Open(context.Background(), cfg, shard.ObservedOwner{Version: row.Version}, e.catalog(), e.directory())
	if err != nil {
		return err.Error() + "\n"
	}
	e.setOwner(entry, o)
	return fmt.Sprintf("term %d\n", o.Term())
}

// releasedStops returns what the last release told of outstanding stops.
func (e *testCluster) releasedStops() string {
	row, err := shard.ReadOwner(context.Background(), e.rows.As(fake.Operator), pool)
	if err != nil {
		e.t.Fatal(err)
	}
	owner, err := shard.DecodeOwner(row.Value)
	if err != nil {
		e.t.Fatal(err)
	}
	return fmt.Sprintf("all ended %v, outstanding %d\n", owner.StopsEnded, len(owner.Stops))
}

// Run implements zerolog.Hook; it adds the virtual time to each line.
func (e *testCluster) Run(ev *zerolog.Event, _ zerolog.Level, _ string) {
	ev.Dur("at", time.Since(e.since))
}

// logWorkerEvent logs what a worker did with a task.
func (e *testCluster) logWorkerEvent(what, boot, task string, attempt int64) {
	l := zerolog.New(e.out).Hook(e)
	l.Info().Str("entry", "worker").Str("event", what).Str("boot", boot).Str("task", task).Int64("attempt", attempt).Send()
}

// hasEnded reports whether the process of the owner in a row has ended: its entry runs no owner.
func (e *testCluster) hasEnded(row shard.OwnerRow) bool {
	e.ownersMu.Lock()
	defer e.ownersMu.Unlock()
	return e.owners[row.Entry] == nil
}

// schedule is how often a job runs and the interval, which also precedes the first run.
type schedule struct {
	times    int
	interval time.Duration
}

func (e *testCluster) submit(entry, account, id, text string) string {
	spec := jobs.Spec{Text: text, Times: e.schedule.times, Interval: e.schedule.interval}
	if spec.Times > 0 {
		spec.FirstDue = time.Duration(time.Now().UnixNano()) + spec.Interval
	}
	for _, f := range strings.Fields(text) {
		st, _ := parseStep(f)
		spec.Steps = append(spec.Steps, st)
	}
	if err := spec.Check(); err != nil {
		return err.Error() + "\n"
	}
	e.locked(func() {
		e.observer.steps[id] = text
		if _, known := e.observer.accounts[id]; !known {
			e.observer.accounts[id] = account
		}
		e.observer.copies[id] = strings.Contains(text, "copies")
	})
	out := e.owners[entry].Submit(context.Background(), id, jobs.Record{Queue: queue, Account: account, AcceptedAt: time.Duration(time.Now().UnixNano()), MaxAttempts: maxAttempts, Spec: spec})
	return string(out) + "\n"
}

// limit sets an account's CPU limit, in thousandths of a core. The observer's limit is set
// separately, since shares may be lower.
func (e *testCluster) limit(account string, cpu int) { e.setAccount(account, cpu, 1000) }

// setAccount sets the limit and the weight of a client account.
func (e *testCluster) setAccount(account string, cpu int, weight float64) {
	e.limits = slices.DeleteFunc(slices.Clone(e.limits), func(a catalog.Account) bool { return a.Name == account })
	e.limits = append(e.limits, catalog.Account{Name: account, Weight: weight, Limit: platform.Resources{CPU: cpu}})
	for _, o := range e.allOwners() {
		o.SetCatalog(e.catalog())
	}
}

// grant gives an owner a share of an account's limit, as the holder of a term does.
func (e *testCluster) grant(entry string, term, seq int64, account string, share float64) {
	e.owners[entry].ApplyGrant(quota.Grant{Term: term, Seq: seq, Shares: map[string]float64{account: share}})
}
