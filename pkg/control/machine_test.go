package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/fleet"
	"github.com/gannetwell/gannetwell/pkg/membership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// mutations selects guarantees to break, to check that the property detects it.
type mutations struct {
	zeroCounts    bool // entries report no requests in flight
	ignoreBoot    bool // the platform ignores the boot that a reboot is meant for
	skipDrainWait bool // a draining VM is rebooted without waiting
}

// node is an entry with its replica, its requests and its control loop.
type node struct {
	replica     *replica.Replica
	loop        *Loop
	stepping    atomic.Bool // a step is in progress; harness.mu guards the fields below
	inFlight    map[string]int
	unreachable bool             // by the other nodes
	pause       time.Duration    // before the next decision is executed
	pauseOn     fleet.ActionKind // pause only before this kind of action, empty for any
}

// harness runs several nodes on one platform and checks what they do.
type harness struct {
	t         fatalT
	mutations mutations
	platform  *fake.Platform
	nodes     []*node
	pending   sync.WaitGroup

	mu         sync.Mutex
	rows       map[string]schema.VM // rows in the store
	pools      map[string]schema.Pool
	poweredOff map[string]bool
	leaving    map[string]bool
	failing    bool // the power loss is a failure, not a reboot
	problems   []string
}

// fatalT is the part of testing.T and rapid.T that the harness uses.
type fatalT interface {
	Fatalf(format string, args ...any)
}

const harnessNodes = 3

func newHarness(t fatalT, p mutations) *harness {
	w := &harness{
		t: t, mutations: p, rows: map[string]schema.VM{}, pools: map[string]schema.Pool{},
		poweredOff: map[string]bool{}, leaving: map[string]bool{},
	}
	w.platform = fake.New(fake.WithLatency(time.Millisecond), fake.WithMachine(w), fake.WithObserver(w),
		fake.WithListLag(2*time.Second), fake.WithRebootTime(2*time.Second), fake.WithLimits(10_000, 100_000))
	for range harnessNodes {
		w.nodes = append(w.nodes, w.newNode())
	}
	w.populate()
	return w
}

// populate creates two pools and six VMs.
func (w *harness) populate() {
	value := func(kind schema.Kind, name string, v any) table.Change {
		return table.Change{Key: table.Key{Kind: kind, Name: name}, Value: table.MustValue(v)}
	}
	edit := &table.Edit{ID: "fill", Actor: "test", Changes: []table.Change{
		value(schema.KindZone, "z", schema.Zone{}),
		value(schema.KindRack, "r", schema.Rack{Zone: "z"}),
		value(schema.KindService, "s", schema.Service{HealthPath: "/healthz", MaxInFlight: 9}),
		value(schema.KindPool, "a", schema.Pool{Service: "s", Size: 3, MaxUnavailable: 1}),
		value(schema.KindPool, "b", schema.Pool{Service: "s", Size: 2, MaxUnavailable: 1}),
	}}
	for i := range 6 {
		name := fmt.Sprintf("w%d", i)
		pool := []string{"a", "a", "a", "b", "b", ""}[i]
		edit.Changes = append(edit.Changes, value(schema.KindVM, name, schema.VM{Rack: "r", Address: fmt.Sprintf("x:%d", i+1), Pool: pool, Phase: schema.PhaseActive}))
		w.platform.AddVM(platform.ListedVM{Name: name, Zone: "z", Role: platform.RoleWorker})
	}
	if _, err := w.nodes[0].replica.Commit(context.Background(), edit); err != nil {
		w.t.Fatalf("fill: %v", err)
	}
}

func (w *harness) newNode() *node {
	view := w.platform.View("z")
	if w.mutations.ignoreBoot {
		view = bootIgnorer{view}
	}
	n := &node{replica: replica.New(view), inFlight: map[string]int{}}
	o := &Observer{VMs: view, Prober: prober{w}, Entries: entryCounter{w}, LocalInFlight: func(string) int { return 0 }}
	n.loop = New("node", n.replica, view, o, WithLimits(fleet.Limits{
		DownAfter: 3 * time.Second, RepairAfter: 5 * time.Second, ReplaceAfter: 20 * time.Second, MaxActions: 8,
	}))
	n.loop.decide = func(s fleet.State, l fleet.Limits) []fleet.Action {
		if w.mutations.skipDrainWait {
			s = withoutInFlight(s)
		}
		actions := fleet.Decide(s, l)
		time.Sleep(w.pauseOf(n, actions))
		return actions
	}
	return n
}

// pauseOf returns how long a node pauses after a decision. Each pause happens once.
func (w *harness) pauseOf(n *node, actions []fleet.Action) (pause time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	decided := slices.ContainsFunc(actions, func(a fleet.Action) bool { return a.Kind == n.pauseOn })
	if n.pauseOn == "" || decided {
		pause = n.pause
		n.pause, n.pauseOn = 0, ""
	}
	return pause
}

// bootIgnorer executes a reboot even if the VM has booted since it was decided.
type bootIgnorer struct{ platform.Platform }

func (d bootIgnorer) Reboot(ctx context.Context, vm, operation string, _ int) error {
	status, err := d.VMStatus(ctx, vm)
	if err != nil {
		return err
	}
	return d.Platform.Reboot(ctx, vm, operation, status.Boot)
}

// withoutInFlight removes all requests in flight from the observations of draining VMs.
func withoutInFlight(s fleet.State) fleet.State {
	s.Observed = maps.Clone(s.Observed)
	for name, o := range s.Observed {
		if s.Table.VMs[name].Value.Phase != schema.PhaseDraining || o.Status == nil {
			continue
		}
		status := *o.Status
		status.InFlight = 0
		o.Status = &status
		o.Entries = []fleet.EntryCount{{Entry: "x", Reached: true, Revision: s.Table.Revision}}
		s.Observed[name] = o
	}
	return s
}

func (w *harness) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// Wrote implements fake.Observer. It checks budgets against the rows in the store.
func (w *harness) Wrote(write platform.Write) {
	key, ok := replica.ParseRowKey(write.Key)
	if !ok {
		return
	}
	row, err := replica.ParseRow(write.Key, write.Value)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch key.Kind {
	case schema.KindPool:
		w.pools[key.Name] = table.MustParse[schema.Pool](row.Value)
	case schema.KindVM:
		old := w.rows[key.Name]
		vm := table.MustParse[schema.VM](row.Value)
		w.rows[key.Name] = vm
		if old.Phase == schema.PhaseActive && vm.Phase == schema.PhaseDraining && vm.Pool != "" {
			w.checkBudget(key.Name, vm.Pool)
		}
		if old.Pool != "" && vm.Pool != old.Pool && w.busy(key.Name) > 0 && !w.poweredOff[key.Name] {
			w.problem("%s left pool %s with requests in flight", key.Name, old.Pool)
		}
	}
}

func (w *harness) checkBudget(name, pool string) {
	out := 0
	for _, vm := range w.rows {
		if vm.Pool == pool && vm.Phase != schema.PhaseActive {
			out++
		}
	}
	if out > w.pools[pool].MaxUnavailable {
		w.problem("%s was taken out of pool %s, which makes %d of a budget of %d", name, pool, out, w.pools[pool].MaxUnavailable)
	}
}

func (w *harness) busy(vm string) (n int) {
	for _, node := range w.nodes {
		n += node.inFlight[vm]
	}
	return n
}

// Leaving implements fake.Machine.
func (w *harness) Leaving(vm string, leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[vm] = leaving
}

// Power implements fake.Machine. It checks that a rebooted VM is idle and not active.
func (w *harness) Power(vm string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poweredOff[vm] = !on
	w.leaving[vm] = false
	if on {
		return
	}
	if !w.failing && w.busy(vm) > 0 {
		w.problem("%s was rebooted with %d requests in flight", vm, w.busy(vm))
	}
	if !w.failing && w.rows[vm].Phase == schema.PhaseActive {
		w.problem("%s was rebooted while it is active", vm)
	}
	for _, n := range w.nodes {
		delete(n.inFlight, vm)
	}
}

// InFlight implements fake.Machine.
func (w *harness) InFlight(vm string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mutations.zeroCounts {
		return 0
	}
	return w.busy(vm)
}

// entryCounter implements Entries for the harness.
type entryCounter struct{ w *harness }

// InFlight implements Entries.
func (a entryCounter) InFlight(_ context.Context, vms []string) (out []membership.EntryInFlight) {
	w := a.w
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, n := range w.nodes {
		e := membership.EntryInFlight{Entry: fmt.Sprint(i), Reached: !n.unreachable, Revision: n.replica.Revision(), Counts: map[string]int{}}
		for _, vm := range vms {
			e.Counts[vm] = n.inFlight[vm]
			if w.mutations.zeroCounts {
				e.Counts[vm] = 0
			}
		}
		out = append(out, e)
	}
	return out
}

// prober reports the actual state of the VMs.
type prober struct{ w *harness }

func (p prober) Health(vm string) (membership.Health, time.Time) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	switch {
	case p.w.poweredOff[vm]:
		return membership.HealthBad, time.Now()
	case p.w.leaving[vm]:
		return membership.HealthLeaving, time.Now()
	}
	return membership.HealthGood, time.Now()
}

func (p prober) List() platform.VMList {
	list, _ := p.w.platform.View("z").ListVMs(context.Background(), "") // the list is empty on error
	return list
}

// step makes one control step of a node.
func (w *harness) step(n *node) {
	if n.stepping.Swap(true) {
		return
	}
	defer n.stepping.Store(false)
	_, _ = n.replica.CatchUp(context.Background())
	n.loop.Step(context.Background())
}

// request starts a request at a VM that is active in the node's replica.
func (w *harness) request(n *node, vm string) {
	row := n.replica.Snapshot().VMs[vm].Value
	w.mu.Lock()
	defer w.mu.Unlock()
	if row.Phase == schema.PhaseActive && row.Pool != "" && !w.poweredOff[vm] {
		n.inFlight[vm]++
	}
}

// editAsOperator commits an edit by an operator. It may be rejected.
func editAsOperator[T any](n *node, kind schema.Kind, name string, f func(*T)) {
	key := table.Key{Kind: kind, Name: name}
	snap := n.replica.Snapshot()
	var v T
	if raw := snap.Value(key); raw != nil {
		v = table.MustParse[T](raw)
	}
	f(&v)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, _ = n.replica.Commit(ctx, &table.Edit{
		ID: randomID(), Actor: "maria", Operator: true,
		Changes: []table.Change{{Key: key, Seen: snap.Version(key), Value: table.MustValue(v)}},
	})
}

// checkProblems fails the test if a violation was found.
func (w *harness) checkProblems() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.problems) > 0 {
		w.t.Fatalf("%s", w.problems[0])
	}
}

// machine checks the nodes under concurrency, pauses, crashes, partitions, store faults, VM
// failures and operator edits: no request is cut off, budgets hold, and every wave ends after
// all faults end.
func machine(t *rapid.T, p mutations) {
	w := newHarness(t, p)
	defer w.pending.Wait()
	node := rapid.Custom(func(t *rapid.T) *node { return w.nodes[rapid.IntRange(0, harnessNodes-1).Draw(t, "node")] })
	vm := rapid.SampledFrom([]string{"w0", "w1", "w2", "w3", "w4", "w5"})
	if rapid.Bool().Draw(t, "wave from the start") {
		editAsOperator(w.caughtUp(), schema.KindWave, "wave-1", func(v *schema.Wave) { v.State, v.Pools = schema.WaveStateRunning, []string{} })
	}
	t.Repeat(map[string]func(*rapid.T){
		"":     func(*rapid.T) { w.checkProblems() },
		"step": func(t *rapid.T) { w.step(node.Draw(t, "n")) },
		"work": func(t *rapid.T) {
			for range rapid.IntRange(1, 5).Draw(t, "rounds") {
				time.Sleep(time.Second)
				w.step(node.Draw(t, "n"))
			}
		},
		"requests everywhere": func(t *rapid.T) {
			n := node.Draw(t, "n")
			for _, name := range slices.Sorted(maps.Keys(n.replica.Snapshot().VMs)) {
				w.request(n, name)
			}
		},
		"end all requests": func(t *rapid.T) {
			for _, n := range w.nodes {
				for _, name := range w.nodes[0].replica.Snapshot().VMs.Names() {
					w.endRequests(n, name)
				}
			}
		},
		"paused step": func(t *rapid.T) {
			n := node.Draw(t, "n")
			w.setPause(n, time.Duration(rapid.IntRange(1, 90).Draw(t, "s"))*time.Second, "")
			w.pending.Go(func() { w.step(n) })
			time.Sleep(100 * time.Millisecond)
		},
		"time":        func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second) },
		"catch up":    func(t *rapid.T) { _, _ = node.Draw(t, "n").replica.CatchUp(context.Background()) },
		"request":     func(t *rapid.T) { w.request(node.Draw(t, "n"), vm.Draw(t, "vm")) },
		"end request": func(t *rapid.T) { w.endRequests(node.Draw(t, "n"), vm.Draw(t, "vm")) },
		"cut":         func(t *rapid.T) { w.setUnreachable(node.Draw(t, "n"), rapid.Bool().Draw(t, "cut")) },
		"crash": func(t *rapid.T) {
			i := rapid.IntRange(0, harnessNodes-1).Draw(t, "i")
			w.mu.Lock()
			defer w.mu.Unlock()
			w.nodes[i] = w.newNode()
		},
		"fail":    func(t *rapid.T) { w.fail(vm.Draw(t, "vm")) },
		"recover": func(t *rapid.T) { w.recover(vm.Draw(t, "vm")) },
		"fault": func(t *rapid.T) {
			w.platform.SetRules(fake.Rule{
				Op:    rapid.SampledFrom([]rest.Operation{"", rest.OpCommit, rest.OpGet, rest.OpReboot, rest.OpDrain, rest.OpVMStatus}).Draw(t, "op"),
				Fault: rapid.SampledFrom(fake.Faults()).Draw(t, "fault"), DelayMs: 1500,
				Chance: 0.5, Count: rapid.IntRange(1, 6).Draw(t, "count"),
			})
		},
		"wave": func(t *rapid.T) {
			state := rapid.SampledFrom([]schema.WaveState{schema.WaveStateRunning, schema.WaveStateRunning, schema.WaveStatePaused, schema.WaveStateAborted}).Draw(t, "state")
			name := rapid.SampledFrom([]string{"wave-1", "wave-2"}).Draw(t, "wave")
			editAsOperator(node.Draw(t, "n"), schema.KindWave, name, func(v *schema.Wave) { v.State, v.Pools = state, []string{} })
		},
		"budget": func(t *rapid.T) {
			editAsOperator(node.Draw(t, "n"), schema.KindPool, "a", func(v *schema.Pool) { v.MaxUnavailable = rapid.IntRange(0, 2).Draw(t, "budget") })
		},
		"size": func(t *rapid.T) {
			editAsOperator(node.Draw(t, "n"), schema.KindPool, "b", func(v *schema.Pool) { v.Size = rapid.IntRange(2, 3).Draw(t, "size") })
		},
	})
	w.recoverAll()
}

func (w *harness) endRequests(n *node, vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(n.inFlight, vm)
}

func (w *harness) setPause(n *node, d time.Duration, on fleet.ActionKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.pause, n.pauseOn = d, on
}

func (w *harness) setUnreachable(n *node, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.unreachable = cut
}

func (w *harness) fail(vm string) {
	w.mu.Lock()
	w.failing = true
	w.mu.Unlock()
	w.platform.Fail(vm)
	w.mu.Lock()
	w.failing = false
	w.mu.Unlock()
}

func (w *harness) recover(vm string) {
	w.mu.Lock()
	off := w.poweredOff[vm]
	w.mu.Unlock()
	if off {
		w.platform.Recover(vm)
	}
}

// recoverAll ends all faults and lets the nodes finish their work.
func (w *harness) recoverAll() {
	w.platform.SetRules()
	w.pending.Wait()
	w.mu.Lock()
	for _, n := range w.nodes {
		n.unreachable = false
		clear(n.inFlight)
	}
	w.mu.Unlock()
	time.Sleep(10 * time.Second) // until reboots in progress have ended
	for _, vm := range w.caughtUp().replica.Snapshot().VMs.Names() {
		w.recover(vm)
	}
	editAsOperator(w.caughtUp(), schema.KindPool, "a", func(v *schema.Pool) { v.MaxUnavailable = 1 })
	const rounds = 400
	for range rounds {
		time.Sleep(500 * time.Millisecond)
		for _, n := range w.nodes {
			w.step(n)
		}
		if w.unsettled() == "" {
			break
		}
	}
	w.checkProblems()
	if what := w.unsettled(); what != "" {
		w.t.Fatalf("%s", what)
	}
}

// unsettled describes what has not finished, empty if everything has.
func (w *harness) unsettled() string {
	snap := w.caughtUp().replica.Snapshot()
	for name, wave := range snap.Waves {
		if wave.Value.State == schema.WaveStateRunning {
			return fmt.Sprintf("wave %s does not end: %+v, %+v", name, fleet.ProgressOf(snap, name), snap.VMs)
		}
	}
	for name, vm := range snap.VMs {
		if vm.Value.Phase != schema.PhaseActive {
			status, err := w.platform.View("z").VMStatus(context.Background(), name)
			return fmt.Sprintf("%s stays %+v; status %+v %v", name, vm.Value, status, err)
		}
	}
	return ""
}

func (w *harness) caughtUp() *node {
	n := w.nodes[0]
	if _, err := n.replica.CatchUp(context.Background()); err != nil {
		w.t.Fatalf("catch up: %v", err)
	}
	return n
}

// TestMachine checks budgets, drains and the end of waves under races and faults.
func TestMachine(t *testing.T) {
	prop.Check(t, func(rt *rapid.T) { machine(rt, mutations{}) })
}

// TestMutations breaks one guarantee at a time and expects the property to fail.
func TestMutations(t *testing.T) {
	for name, p := range map[string]mutations{
		"entries lie":           {zeroCounts: true},
		"drains are not waited": {skipDrainWait: true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, prop.Finds(t, func(rt *rapid.T) { machine(rt, p) }), qt.IsTrue)
		})
	}
}

// pausedReboot pauses a node between the decision to reboot a VM and the call, while another
// node completes two waves and the VMs serve again.
func pausedReboot(t fatalT, p mutations) (problems []string) {
	w := newHarness(t, p)
	editAsOperator(w.caughtUp(), schema.KindWave, "wave-1", func(v *schema.Wave) { v.State, v.Pools = schema.WaveStateRunning, []string{} })
	const paused = 5 * time.Minute
	w.setPause(w.nodes[0], paused, fleet.EffectReboot)
	began := time.Now()
	w.pending.Go(func() {
		for time.Since(began) < paused {
			w.step(w.nodes[0])
			time.Sleep(time.Second)
		}
	})
	next := false
	for time.Since(began) < paused-10*time.Second {
		if !next && time.Since(began) > paused/2 { // a second wave gives each VM a new operation
			next = true
			editAsOperator(w.caughtUp(), schema.KindWave, "wave-2", func(v *schema.Wave) { v.State, v.Pools = schema.WaveStateRunning, []string{} })
		}
		w.step(w.nodes[1])
		for _, n := range w.nodes { // a lagging entry would delay every drain
			_, _ = n.replica.CatchUp(context.Background())
		}
		time.Sleep(time.Second)
	}
	if what := w.unsettled(); what != "" {
		t.Fatalf("the other node does not take over: %s", what)
	}
	n := w.caughtUp()
	for _, vm := range n.replica.Snapshot().VMs.Names() {
		w.request(n, vm)
	}
	w.pending.Wait()
	time.Sleep(10 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.problems
}

// TestPausedReboot checks that a reboot decided long ago is rejected because the VM has booted
// since, and that requests would be cut off without this check.
func TestPausedReboot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Check(t, pausedReboot(t, mutations{}), qt.HasLen, 0)
		qt.Check(t, pausedReboot(t, mutations{ignoreBoot: true}), qt.Not(qt.HasLen), 0)
	})
}
