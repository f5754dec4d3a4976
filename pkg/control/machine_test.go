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
	stepping    atomic.Bool // a pass is in progress; harness.mu guards the fields below
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

func newHarness(t fatalT, m mutations) *harness {
	h := &harness{
		t: t, mutations: m, rows: map[string]schema.VM{}, pools: map[string]schema.Pool{},
		poweredOff: map[string]bool{}, leaving: map[string]bool{},
	}
	h.platform = fake.New(fake.WithLatency(time.Millisecond), fake.WithVMRuntime(h), fake.WithObserver(h),
		fake.WithListLag(2*time.Second), fake.WithRebootTime(2*time.Second), fake.WithLimits(10_000, 100_000))
	for range harnessNodes {
		h.nodes = append(h.nodes, h.newNode())
	}
	h.populate()
	return h
}

// populate creates two pools and six VMs.
func (h *harness) populate() {
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
		h.platform.AddVM(platform.ListedVM{Name: name, Zone: "z", Role: platform.RoleWorker})
	}
	if _, err := h.nodes[0].replica.Commit(context.Background(), edit); err != nil {
		h.t.Fatalf("populate: %v", err)
	}
}

func (h *harness) newNode() *node {
	view := h.platform.View("z")
	if h.mutations.ignoreBoot {
		view = bootIgnorer{view}
	}
	n := &node{replica: replica.New(view), inFlight: map[string]int{}}
	o := &Observer{VMs: view, Servers: observedServers{h}, Entries: entryCounter{h}, LocalInFlight: func(string) int { return 0 }}
	n.loop = New("node", n.replica, view, o, WithLimits(fleet.Limits{
		DownAfter: 3 * time.Second, RepairAfter: 5 * time.Second, ReplaceAfter: 20 * time.Second, MaxActions: 8,
	}))
	n.loop.decide = func(s fleet.State, l fleet.Limits) []fleet.Action {
		if h.mutations.skipDrainWait {
			s = withoutInFlight(s)
		}
		actions := fleet.Decide(s, l)
		time.Sleep(h.pauseOf(n, actions))
		return actions
	}
	return n
}

// pauseOf returns how long a node pauses after a decision. Each pause happens once.
func (h *harness) pauseOf(n *node, actions []fleet.Action) (pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
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

func (h *harness) recordProblem(format string, args ...any) {
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

// Wrote implements fake.Observer. It checks budgets against the rows in the store.
func (h *harness) Wrote(write platform.Write) {
	key, ok := replica.ParseRowKey(write.Key)
	if !ok {
		return
	}
	row, err := replica.ParseRow(write.Key, write.Value)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch key.Kind {
	case schema.KindPool:
		h.pools[key.Name] = table.MustParse[schema.Pool](row.Value)
	case schema.KindVM:
		old := h.rows[key.Name]
		vm := table.MustParse[schema.VM](row.Value)
		h.rows[key.Name] = vm
		if old.Phase == schema.PhaseActive && vm.Phase == schema.PhaseDraining && vm.Pool != "" {
			h.checkBudget(key.Name, vm.Pool)
		}
		if old.Pool != "" && vm.Pool != old.Pool && h.totalInFlight(key.Name) > 0 && !h.poweredOff[key.Name] {
			h.recordProblem("%s left pool %s with requests in flight", key.Name, old.Pool)
		}
	}
}

func (h *harness) checkBudget(name, pool string) {
	out := 0
	for _, vm := range h.rows {
		if vm.Pool == pool && vm.Phase != schema.PhaseActive {
			out++
		}
	}
	if out > h.pools[pool].MaxUnavailable {
		h.recordProblem("%s was taken out of pool %s: %d VMs out of service, budget %d", name, pool, out, h.pools[pool].MaxUnavailable)
	}
}

func (h *harness) totalInFlight(vm string) (n int) {
	for _, node := range h.nodes {
		n += node.inFlight[vm]
	}
	return n
}

// Leaving implements fake.VMRuntime.
func (h *harness) Leaving(vm string, leaving bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving[vm] = leaving
}

// Power implements fake.VMRuntime. It checks that a rebooted VM is idle and not active.
func (h *harness) Power(vm string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.poweredOff[vm] = !on
	h.leaving[vm] = false
	if on {
		return
	}
	if !h.failing && h.totalInFlight(vm) > 0 {
		h.recordProblem("%s was rebooted with %d requests in flight", vm, h.totalInFlight(vm))
	}
	if !h.failing && h.rows[vm].Phase == schema.PhaseActive {
		h.recordProblem("%s was rebooted while it is active", vm)
	}
	for _, n := range h.nodes {
		delete(n.inFlight, vm)
	}
}

// InFlight implements fake.VMRuntime.
func (h *harness) InFlight(vm string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mutations.zeroCounts {
		return 0
	}
	return h.totalInFlight(vm)
}

// entryCounter implements Entries for the harness.
type entryCounter struct{ h *harness }

// InFlight implements Entries.
func (a entryCounter) InFlight(_ context.Context, vms []string) (out []membership.EntryInFlight) {
	h := a.h
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, n := range h.nodes {
		e := membership.EntryInFlight{Entry: fmt.Sprint(i), Reached: !n.unreachable, Revision: n.replica.Revision(), Counts: map[string]int{}}
		for _, vm := range vms {
			e.Counts[vm] = n.inFlight[vm]
			if h.mutations.zeroCounts {
				e.Counts[vm] = 0
			}
		}
		out = append(out, e)
	}
	return out
}

// observedServers reports the actual state of the VMs.
type observedServers struct{ h *harness }

func (p observedServers) Health(vm string) (membership.Health, time.Time) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	switch {
	case p.h.poweredOff[vm]:
		return membership.HealthBad, time.Now()
	case p.h.leaving[vm]:
		return membership.HealthLeaving, time.Now()
	}
	return membership.HealthGood, time.Now()
}

func (p observedServers) List() platform.VMList {
	list, _ := p.h.platform.View("z").ListVMs(context.Background(), "") // the list is empty on error
	return list
}

// step makes one pass of a node's control loop.
func (h *harness) step(n *node) {
	if n.stepping.Swap(true) {
		return
	}
	defer n.stepping.Store(false)
	_, _ = n.replica.CatchUp(context.Background())
	n.loop.Step(context.Background())
}

// request starts a request at a VM that is active in the node's replica.
func (h *harness) request(n *node, vm string) {
	row := n.replica.Snapshot().VMs[vm].Value
	h.mu.Lock()
	defer h.mu.Unlock()
	if row.Phase == schema.PhaseActive && row.Pool != "" && !h.poweredOff[vm] {
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
func (h *harness) checkProblems() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.problems) > 0 {
		h.t.Fatalf("%s", h.problems[0])
	}
}

// machine checks the nodes under concurrency, pauses, crashes, partitions, store faults, VM
// failures and operator edits: no request is cut off, budgets hold, and every wave ends after
// all faults end.
func machine(t *rapid.T, m mutations) {
	h := newHarness(t, m)
	defer h.pending.Wait()
	node := rapid.Custom(func(t *rapid.T) *node { return h.nodes[rapid.IntRange(0, harnessNodes-1).Draw(t, "node")] })
	vm := rapid.SampledFrom([]string{"w0", "w1", "w2", "w3", "w4", "w5"})
	if rapid.Bool().Draw(t, "wave from the start") {
		editAsOperator(h.caughtUp(), schema.KindWave, "wave-1", func(v *schema.Wave) { v.State, v.Pools = schema.WaveStateRunning, []string{} })
	}
	t.Repeat(map[string]func(*rapid.T){
		"":     func(*rapid.T) { h.checkProblems() },
		"step": func(t *rapid.T) { h.step(node.Draw(t, "n")) },
		"work": func(t *rapid.T) {
			for range rapid.IntRange(1, 5).Draw(t, "rounds") {
				time.Sleep(time.Second)
				h.step(node.Draw(t, "n"))
			}
		},
		"requests everywhere": func(t *rapid.T) {
			n := node.Draw(t, "n")
			for _, name := range slices.Sorted(maps.Keys(n.replica.Snapshot().VMs)) {
				h.request(n, name)
			}
		},
		"end all requests": func(t *rapid.T) {
			for _, n := range h.nodes {
				for _, name := range h.nodes[0].replica.Snapshot().VMs.Names() {
					h.endRequests(n, name)
				}
			}
		},
		"paused step": func(t *rapid.T) {
			n := node.Draw(t, "n")
			h.setPause(n, time.Duration(rapid.IntRange(1, 90).Draw(t, "s"))*time.Second, "")
			h.pending.Go(func() { h.step(n) })
			time.Sleep(100 * time.Millisecond)
		},
		"time":        func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second) },
		"catch up":    func(t *rapid.T) { _, _ = node.Draw(t, "n").replica.CatchUp(context.Background()) },
		"request":     func(t *rapid.T) { h.request(node.Draw(t, "n"), vm.Draw(t, "vm")) },
		"end request": func(t *rapid.T) { h.endRequests(node.Draw(t, "n"), vm.Draw(t, "vm")) },
		"cut":         func(t *rapid.T) { h.setUnreachable(node.Draw(t, "n"), rapid.Bool().Draw(t, "cut")) },
		"crash": func(t *rapid.T) {
			i := rapid.IntRange(0, harnessNodes-1).Draw(t, "i")
			h.mu.Lock()
			defer h.mu.Unlock()
			h.nodes[i] = h.newNode()
		},
		"fail":    func(t *rapid.T) { h.fail(vm.Draw(t, "vm")) },
		"recover": func(t *rapid.T) { h.recover(vm.Draw(t, "vm")) },
		"fault": func(t *rapid.T) {
			h.platform.SetRules(fake.Rule{
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
	h.recoverAll()
}

func (h *harness) endRequests(n *node, vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(n.inFlight, vm)
}

func (h *harness) setPause(n *node, d time.Duration, on fleet.ActionKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n.pause, n.pauseOn = d, on
}

func (h *harness) setUnreachable(n *node, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n.unreachable = cut
}

func (h *harness) fail(vm string) {
	h.mu.Lock()
	h.failing = true
	h.mu.Unlock()
	h.platform.Fail(vm)
	h.mu.Lock()
	h.failing = false
	h.mu.Unlock()
}

func (h *harness) recover(vm string) {
	h.mu.Lock()
	off := h.poweredOff[vm]
	h.mu.Unlock()
	if off {
		h.platform.Recover(vm)
	}
}

// recoverAll ends all faults and lets the nodes finish their work.
func (h *harness) recoverAll() {
	h.platform.SetRules()
	h.pending.Wait()
	h.mu.Lock()
	for _, n := range h.nodes {
		n.unreachable = false
		clear(n.inFlight)
	}
	h.mu.Unlock()
	time.Sleep(10 * time.Second) // until reboots in progress have ended
	for _, vm := range h.caughtUp().replica.Snapshot().VMs.Names() {
		h.recover(vm)
	}
	editAsOperator(h.caughtUp(), schema.KindPool, "a", func(v *schema.Pool) { v.MaxUnavailable = 1 })
	const rounds = 400
	for range rounds {
		time.Sleep(500 * time.Millisecond)
		for _, n := range h.nodes {
			h.step(n)
		}
		if h.unsettled() == "" {
			break
		}
	}
	h.checkProblems()
	if pending := h.unsettled(); pending != "" {
		h.t.Fatalf("%s", pending)
	}
}

// unsettled describes what has not finished, empty if everything has.
func (h *harness) unsettled() string {
	snap := h.caughtUp().replica.Snapshot()
	for name, wave := range snap.Waves {
		if wave.Value.State == schema.WaveStateRunning {
			return fmt.Sprintf("wave %s does not end: %+v, %+v", name, fleet.ProgressOf(snap, name), snap.VMs)
		}
	}
	for name, vm := range snap.VMs {
		if vm.Value.Phase != schema.PhaseActive {
			status, err := h.platform.View("z").VMStatus(context.Background(), name)
			return fmt.Sprintf("%s stays %+v; status %+v %v", name, vm.Value, status, err)
		}
	}
	return ""
}

func (h *harness) caughtUp() *node {
	n := h.nodes[0]
	if _, err := n.replica.CatchUp(context.Background()); err != nil {
		h.t.Fatalf("catch up: %v", err)
	}
	return n
}

// TestMachine checks budgets, drains and the end of waves under races and faults.
func TestMachine(t *testing.T) {
	prop.Check(t, func(rt *rapid.T) { machine(rt, mutations{}) })
}

// TestMutations breaks one guarantee at a time and expects the property to fail.
func TestMutations(t *testing.T) {
	for name, m := range map[string]mutations{
		"entries report no requests": {zeroCounts: true},
		"drains are not awaited":     {skipDrainWait: true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, prop.FindsFailure(t, func(rt *rapid.T) { machine(rt, m) }), qt.IsTrue)
		})
	}
}

// pausedReboot pauses a node between the decision to reboot a VM and the call, while another
// node completes two waves and the VMs serve again.
func pausedReboot(t fatalT, m mutations) (problems []string) {
	h := newHarness(t, m)
	editAsOperator(h.caughtUp(), schema.KindWave, "wave-1", func(v *schema.Wave) { v.State, v.Pools = schema.WaveStateRunning, []string{} })
	const paused = 5 * time.Minute
	h.setPause(h.nodes[0], paused, fleet.EffectReboot)
	start := time.Now()
	h.pending.Go(func() {
		for time.Since(start) < paused {
			h.step(h.nodes[0])
			time.Sleep(time.Second)
		}
	})
	next := false
	for time.Since(start) < paused-10*time.Second {
		if !next && time.Since(start) > paused/2 { // a second wave gives each VM a new operation
			next = true
			editAsOperator(h.caughtUp(), schema.KindWave, "wave-2", func(v *schema.Wave) { v.State, v.Pools = schema.WaveStateRunning, []string{} })
		}
		h.step(h.nodes[1])
		for _, n := range h.nodes { // a lagging entry would delay every drain
			_, _ = n.replica.CatchUp(context.Background())
		}
		time.Sleep(time.Second)
	}
	if pending := h.unsettled(); pending != "" {
		t.Fatalf("the other node does not take over: %s", pending)
	}
	n := h.caughtUp()
	for _, vm := range n.replica.Snapshot().VMs.Names() {
		h.request(n, vm)
	}
	h.pending.Wait()
	time.Sleep(10 * time.Second)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.problems
}

// TestPausedReboot checks that a reboot decided long ago is rejected because the VM has booted
// since, and that requests would be cut off without this check.
func TestPausedReboot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Check(t, pausedReboot(t, mutations{}), qt.HasLen, 0)
		qt.Check(t, pausedReboot(t, mutations{ignoreBoot: true}), qt.Not(qt.HasLen), 0)
	})
}
