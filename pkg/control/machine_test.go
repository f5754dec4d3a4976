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

// plants are promises that a test variant breaks on purpose.
type plants struct {
	lyingEntries  bool // entries always say that nothing is in flight
	deafPlatform  bool // the platform forgets which boot a reboot was meant for
	hastyDecision bool // a draining VM reboots without waiting
}

// node is one entry: its copy of the table, its requests and its control loop.
type node struct {
	replica  *replica.Replica
	loop     *Loop
	stepping atomic.Bool // a loop makes one step at a time; what follows is under the world's lock
	inFlight map[string]int
	cut      bool             // the other nodes cannot reach it
	pause    time.Duration    // between its next decision and its writes
	pauseOn  fleet.ActionKind // the pause waits for a decision with this action, if it is set
}

// world is several nodes racing on one platform, and the oracle beside them.
type world struct {
	t        fataler
	plants   plants
	platform *fake.Platform
	nodes    []*node
	pending  sync.WaitGroup

	mu       sync.Mutex
	rows     map[string]schema.VM // the truth in the store
	pools    map[string]schema.Pool
	off      map[string]bool
	leaving  map[string]bool
	failing  bool // power goes off by a failure, not by a reboot
	problems []string
}

// fataler ends a test; rapid's and the standard one's T do.
type fataler interface {
	Fatalf(format string, args ...any)
}

const worldNodes = 3

func newWorld(t fataler, p plants) *world {
	w := &world{
		t: t, plants: p, rows: map[string]schema.VM{}, pools: map[string]schema.Pool{},
		off: map[string]bool{}, leaving: map[string]bool{},
	}
	w.platform = fake.New(fake.WithLatency(time.Millisecond), fake.WithMachine(w), fake.WithObserver(w),
		fake.WithListLag(2*time.Second), fake.WithRebootTime(2*time.Second), fake.WithLimits(10_000, 100_000))
	for range worldNodes {
		w.nodes = append(w.nodes, w.newNode())
	}
	w.fill()
	return w
}

// fill writes two pools and six VMs.
func (w *world) fill() {
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

func (w *world) newNode() *node {
	view := w.platform.View("z")
	if w.plants.deafPlatform {
		view = deaf{view}
	}
	n := &node{replica: replica.New(view), inFlight: map[string]int{}}
	o := &Observer{VMs: view, Prober: prober{w}, Entries: asked{w}, Own: func(string) int { return 0 }}
	n.loop = New("node", n.replica, view, o, WithLimits(fleet.Limits{
		DownAfter: 3 * time.Second, RepairAfter: 5 * time.Second, ReplaceAfter: 20 * time.Second, MaxActions: 8,
	}))
	n.loop.decide = func(s fleet.State, l fleet.Limits) []fleet.Action {
		if w.plants.hastyDecision {
			s = hasty(s)
		}
		actions := fleet.Decide(s, l)
		time.Sleep(w.pauseOf(n, actions))
		return actions
	}
	return n
}

// pauseOf returns how long a node pauses after a decision; a pause happens once.
func (w *world) pauseOf(n *node, actions []fleet.Action) (pause time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	decided := slices.ContainsFunc(actions, func(a fleet.Action) bool { return a.Kind == n.pauseOn })
	if n.pauseOn == "" || decided {
		pause = n.pause
		n.pause, n.pauseOn = 0, ""
	}
	return pause
}

// deaf carries out a reboot whatever boot it was meant for.
type deaf struct{ platform.Platform }

func (d deaf) Reboot(ctx context.Context, vm, operation string, _ int) error {
	status, err := d.VMStatus(ctx, vm)
	if err != nil {
		return err
	}
	return d.Platform.Reboot(ctx, vm, operation, status.Boot)
}

// hasty observes that nothing is in flight, whatever was seen.
func hasty(s fleet.State) fleet.State {
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

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// Wrote implements fake.Observer: budgets are judged by the rows in the store.
func (w *world) Wrote(write platform.Write) {
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
			w.judgeGrant(key.Name, vm.Pool)
		}
		if old.Pool != "" && vm.Pool != old.Pool && w.busy(key.Name) > 0 && !w.off[key.Name] {
			w.problem("%s left pool %s with requests in flight", key.Name, old.Pool)
		}
	}
}

func (w *world) judgeGrant(name, pool string) {
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

func (w *world) busy(vm string) (n int) {
	for _, node := range w.nodes {
		n += node.inFlight[vm]
	}
	return n
}

// Leaving implements fake.Machine.
func (w *world) Leaving(vm string, leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[vm] = leaving
}

// Power implements fake.Machine: a reboot must meet an idle VM that the table gave up.
func (w *world) Power(vm string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.off[vm] = !on
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
func (w *world) InFlight(vm string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.plants.lyingEntries {
		return 0
	}
	return w.busy(vm)
}

// asked answers control's questions to the entries.
type asked struct{ w *world }

// InFlight implements Entries.
func (a asked) InFlight(_ context.Context, vms []string) (out []membership.EntryInFlight) {
	w := a.w
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, n := range w.nodes {
		e := membership.EntryInFlight{Entry: fmt.Sprint(i), Reached: !n.cut, Revision: n.replica.Revision(), Counts: map[string]int{}}
		for _, vm := range vms {
			e.Counts[vm] = n.inFlight[vm]
			if w.plants.lyingEntries {
				e.Counts[vm] = 0
			}
		}
		out = append(out, e)
	}
	return out
}

// prober sees the truth.
type prober struct{ w *world }

func (p prober) Health(vm string) (membership.Health, time.Time) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	switch {
	case p.w.off[vm]:
		return membership.HealthBad, time.Now()
	case p.w.leaving[vm]:
		return membership.HealthLeaving, time.Now()
	}
	return membership.HealthGood, time.Now()
}

func (p prober) List() platform.VMList {
	list, _ := p.w.platform.View("z").ListVMs(context.Background(), "") // an empty list is a list too
	return list
}

// step makes one control step of a node.
func (w *world) step(n *node) {
	if n.stepping.Swap(true) {
		return
	}
	defer n.stepping.Store(false)
	_, _ = n.replica.CatchUp(context.Background())
	n.loop.Step(context.Background())
}

// request begins a request at a VM that the node holds for active.
func (w *world) request(n *node, vm string) {
	row := n.replica.Snapshot().VMs[vm].Value
	w.mu.Lock()
	defer w.mu.Unlock()
	if row.Phase == schema.PhaseActive && row.Pool != "" && !w.off[vm] {
		n.inFlight[vm]++
	}
}

// operate edits a row as an operator does; a refusal is an answer.
func operate[T any](n *node, kind schema.Kind, name string, f func(*T)) {
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

// judge ends the case when the oracle has seen a promise broken.
func (w *world) judge() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.problems) > 0 {
		w.t.Fatalf("%s", w.problems[0])
	}
}

// machine is the property: nodes race, pause, crash and are cut off; the store
// fails; VMs fail; operators steer. Nothing is cut off, budgets hold, and when
// all is well again every wave ends.
func machine(t *rapid.T, p plants) {
	w := newWorld(t, p)
	defer w.pending.Wait()
	node := rapid.Custom(func(t *rapid.T) *node { return w.nodes[rapid.IntRange(0, worldNodes-1).Draw(t, "node")] })
	vm := rapid.SampledFrom([]string{"w0", "w1", "w2", "w3", "w4", "w5"})
	if rapid.Bool().Draw(t, "wave from the start") {
		operate(w.caughtUp(), schema.KindWave, "wave-1", func(v *schema.Wave) { v.State, v.Pools = schema.WaveStateRunning, []string{} })
	}
	t.Repeat(map[string]func(*rapid.T){
		"":     func(*rapid.T) { w.judge() },
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
		"cut":         func(t *rapid.T) { w.setCut(node.Draw(t, "n"), rapid.Bool().Draw(t, "cut")) },
		"crash": func(t *rapid.T) {
			i := rapid.IntRange(0, worldNodes-1).Draw(t, "i")
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
			operate(node.Draw(t, "n"), schema.KindWave, name, func(v *schema.Wave) { v.State, v.Pools = state, []string{} })
		},
		"budget": func(t *rapid.T) {
			operate(node.Draw(t, "n"), schema.KindPool, "a", func(v *schema.Pool) { v.MaxUnavailable = rapid.IntRange(0, 2).Draw(t, "budget") })
		},
		"size": func(t *rapid.T) {
			operate(node.Draw(t, "n"), schema.KindPool, "b", func(v *schema.Pool) { v.Size = rapid.IntRange(2, 3).Draw(t, "size") })
		},
	})
	w.settle()
}

func (w *world) endRequests(n *node, vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(n.inFlight, vm)
}

func (w *world) setPause(n *node, d time.Duration, on fleet.ActionKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.pause, n.pauseOn = d, on
}

func (w *world) setCut(n *node, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.cut = cut
}

func (w *world) fail(vm string) {
	w.mu.Lock()
	w.failing = true
	w.mu.Unlock()
	w.platform.Fail(vm)
	w.mu.Lock()
	w.failing = false
	w.mu.Unlock()
}

func (w *world) recover(vm string) {
	w.mu.Lock()
	off := w.off[vm]
	w.mu.Unlock()
	if off {
		w.platform.Recover(vm)
	}
}

// settle heals everything and lets the nodes finish.
func (w *world) settle() {
	w.platform.SetRules()
	w.pending.Wait()
	w.mu.Lock()
	for _, n := range w.nodes {
		n.cut = false
		clear(n.inFlight)
	}
	w.mu.Unlock()
	time.Sleep(10 * time.Second) // reboots under way end
	for _, vm := range w.caughtUp().replica.Snapshot().VMs.Names() {
		w.recover(vm)
	}
	operate(w.caughtUp(), schema.KindPool, "a", func(v *schema.Pool) { v.MaxUnavailable = 1 })
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
	w.judge()
	if what := w.unsettled(); what != "" {
		w.t.Fatalf("%s", what)
	}
}

// unsettled says what has not come to its end.
func (w *world) unsettled() string {
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

func (w *world) caughtUp() *node {
	n := w.nodes[0]
	if _, err := n.replica.CatchUp(context.Background()); err != nil {
		w.t.Fatalf("catch up: %v", err)
	}
	return n
}

// TestMachine proves budgets, drains and the end of waves under races and faults.
func TestMachine(t *testing.T) {
	prop.Check(t, func(rt *rapid.T) { machine(rt, plants{}) })
}

// TestPlanted breaks promises on purpose: the property must see each.
func TestPlanted(t *testing.T) {
	for name, p := range map[string]plants{
		"entries lie":           {lyingEntries: true},
		"drains are not waited": {hastyDecision: true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, prop.FindsFailure(t, func(rt *rapid.T) { machine(rt, p) }), qt.IsTrue)
		})
	}
}

// pausedReboot pauses a node between the decision to reboot a VM and the call,
// until another node has taken two waves to their ends and the VMs serve again.
func pausedReboot(t fataler, p plants) (problems []string) {
	w := newWorld(t, p)
	operate(w.caughtUp(), schema.KindWave, "wave-1", func(v *schema.Wave) { v.State, v.Pools = schema.WaveStateRunning, []string{} })
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
		if !next && time.Since(began) > paused/2 { // another wave gives each VM another operation
			next = true
			operate(w.caughtUp(), schema.KindWave, "wave-2", func(v *schema.Wave) { v.State, v.Pools = schema.WaveStateRunning, []string{} })
		}
		w.step(w.nodes[1])
		for _, n := range w.nodes { // an entry that lags would hold every drain up
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

// TestPausedReboot wakes a node that was about to reboot a VM long ago: the call
// meets a VM that has booted since and is refused. Without that fence, it cuts requests off.
func TestPausedReboot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Check(t, pausedReboot(t, plants{}), qt.HasLen, 0)
		qt.Check(t, pausedReboot(t, plants{deafPlatform: true}), qt.Not(qt.HasLen), 0)
	})
}
