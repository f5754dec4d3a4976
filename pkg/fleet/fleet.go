package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Health is what is known of a VM's backend server.
type Health string

// The states of health.
const (
	HealthUnknown Health = ""
	HealthGood    Health = "good"
	HealthBad     Health = "bad"
)

// Observation is what was seen of one VM.
type Observation struct {
	Health   Health
	Since    time.Time          // when the health became what it is, zero when that is not known
	Status   *platform.VMStatus // nil when the VM was not asked or did not answer
	Entries  []EntryCount       // of a draining VM
	InFlight int                // at this entry, to rank VMs by
	Listed   platform.VMState   // by the platform's list, empty when it is not on it
}

// EntryCount is one entry's word on its requests in flight to a VM.
type EntryCount struct {
	Entry    string
	Reached  bool
	Revision int
	Count    int
}

// State is all that a decision rests on.
type State struct {
	Table    *table.Snapshot
	Now      time.Time
	Observed map[string]Observation // by VM
}

// ActionKind names what an action does.
type ActionKind string

// The kinds of action; those from drain on are effects on the platform.
const (
	ActionAssign  ActionKind = "assign"
	ActionRelease ActionKind = "release"
	ActionGrant   ActionKind = "grant"
	ActionUngrant ActionKind = "ungrant"
	ActionReboot  ActionKind = "reboot"
	ActionCheck   ActionKind = "check"
	ActionReturn  ActionKind = "return"
	ActionDown    ActionKind = "down"
	ActionUp      ActionKind = "up"
	ActionReplace ActionKind = "replace"
	ActionWave    ActionKind = "wave"
	EffectDrain   ActionKind = "effect-drain"
	EffectUndrain ActionKind = "effect-undrain"
	EffectReboot  ActionKind = "effect-reboot"
)

// Action is one thing to do.
type Action struct {
	Kind      ActionKind
	VM        string
	Operation string         // of EffectReboot
	Boot      int            // of EffectDrain and EffectReboot: the VM's boots when that was decided
	Changes   []table.Change // of an edit
	Reason    string
	Evidence  string
}

// IsEffect tells that the action is an effect on the platform, not an edit.
func (a Action) IsEffect() bool { return strings.HasPrefix(string(a.Kind), "effect-") }

// Limits bound the decisions.
type Limits struct {
	DownAfter    time.Duration // bad health for so long takes a VM out of service
	RepairAfter  time.Duration // a VM that is down for so long is rebooted
	ReplaceAfter time.Duration // and after so long its pool gets another VM
	MaxActions   int           // of one step
}

// DefaultLimits are for fleets of today's size.
func DefaultLimits() Limits {
	return Limits{
		DownAfter: 3 * time.Second, RepairAfter: 10 * time.Second, ReplaceAfter: 30 * time.Second,
		MaxActions: 32,
	}
}

// Decide returns what to do next, the most urgent first.
func Decide(s State, l Limits) []Action {
	d := newDecider(s, l)
	d.health()
	d.phases()
	d.sizes()
	d.waves()
	return d.actions
}

// decider collects actions.
type decider struct {
	State
	limits      Limits
	names       []string
	unavailable map[string]int // by pool, by the table and by observation
	size        map[string]int // VMs by pool
	zones       map[place]int  // VMs by pool and zone, those that this step assigns included
	racks       map[place]int  // and by pool and rack
	actions     []Action
	touched     map[string]bool // VMs with an edit in this step
}

func newDecider(s State, l Limits) *decider {
	d := &decider{
		State: s, limits: l, names: s.Table.VMs.Names(),
		unavailable: map[string]int{}, size: map[string]int{}, touched: map[string]bool{},
		zones: map[place]int{}, racks: map[place]int{},
	}
	for _, name := range d.names {
		vm := d.vm(name)
		if vm.Pool == "" {
			continue
		}
		d.size[vm.Pool]++
		d.occupy(vm.Pool, name)
		if vm.Phase != schema.PhaseActive || d.Observed[name].Health != HealthGood {
			d.unavailable[vm.Pool]++
		}
	}
	return d
}

func (d *decider) vm(name string) schema.VM { return d.Table.VMs[name].Value }

// full tells that the step has enough actions.
func (d *decider) full() bool { return len(d.actions) >= d.limits.MaxActions }

// edit adds an edit of one VM row, at most one in a step.
func (d *decider) edit(kind ActionKind, name string, vm schema.VM, reason, evidence string) {
	if d.touched[name] || d.full() {
		return
	}
	d.touched[name] = true
	if vm.Phase != d.vm(name).Phase {
		vm.PhaseSinceMs = int(d.Now.UnixMilli())
	}
	d.actions = append(d.actions, Action{
		Kind: kind, VM: name, Reason: reason, Evidence: evidence,
		Changes: []table.Change{change(d.Table, table.Key{Kind: schema.KindVM, Name: name}, vm)},
	})
}

func (d *decider) effect(a Action) {
	if !d.full() {
		d.actions = append(d.actions, a)
	}
}

// change is a change of a row from the version that the snapshot holds.
func change[T any](s *table.Snapshot, k table.Key, v T) table.Change {
	return table.Change{Key: k, Seen: s.Version(k), Value: table.MustValue(v)}
}

// phaseAge is how long a VM has been in its phase.
func (d *decider) phaseAge(vm schema.VM) time.Duration {
	return d.Now.Sub(time.UnixMilli(int64(vm.PhaseSinceMs)))
}

// health records VMs that failed and VMs that came back.
func (d *decider) health() {
	for _, name := range d.names {
		vm, o := d.vm(name), d.Observed[name]
		switch {
		case vm.Phase == schema.PhaseActive && d.badFor(o, d.limits.DownAfter):
			vm.Phase = schema.PhaseDown
			d.edit(ActionDown, name, vm, "its backend server does not answer probes",
				fmt.Sprintf("probes fail since %s; the platform's list says %q", o.Since.UTC().Format(time.RFC3339), o.Listed))
		case vm.Phase == schema.PhaseDown:
			d.repair(name, vm, o)
		}
	}
}

// badFor tells that a VM's health has been bad for so long.
func (d *decider) badFor(o Observation, age time.Duration) bool {
	return o.Health == HealthBad && !o.Since.IsZero() && d.Now.Sub(o.Since) >= age
}

// lose takes a VM out of its maintenance that does not come through it.
func (d *decider) lose(name string, vm schema.VM, reason string) {
	vm.Phase, vm.Wave = schema.PhaseDown, ""
	d.edit(ActionDown, name, vm, reason, "the VM gives no status, probes fail or it does not return")
}

// repair returns a VM that is well again, reboots one that stays down and then gives its place to another.
func (d *decider) repair(name string, vm schema.VM, o Observation) {
	live := o.Status != nil && o.Status.State == platform.VMLive
	leaving := o.Status != nil && o.Status.State == platform.VMLeaving
	pending := vm.Operation != "" && (live || leaving) && o.Status.Operation != vm.Operation
	age := d.phaseAge(vm)
	switch {
	case pending && o.Status.Boot == vm.OperationBoot:
		// A call for this reboot may still be under way: only after it is the VM safe to use.
		vm.Phase = schema.PhaseRebooting
		d.edit(ActionReboot, name, vm, "its reboot has not been carried out yet", statusEvidence(o))
	case leaving:
		d.effect(Action{Kind: EffectUndrain, VM: name, Reason: "the VM is down in the table, where only its own word brings it back"})
	case live && o.Health == HealthGood:
		vm.Phase = schema.PhaseActive
		d.edit(ActionUp, name, vm, "its backend server answers probes again", statusEvidence(o))
	case vm.Pool != "" && age >= d.limits.ReplaceAfter:
		pool := vm.Pool
		vm.Pool = ""
		d.edit(ActionReplace, name, vm, fmt.Sprintf("down for %s: pool %q gets another VM", age.Round(time.Second), pool), statusEvidence(o))
	case live && age >= d.limits.RepairAfter && o.Status.InFlight == 0:
		// Somebody who does not know that the VM is down may still reach it: what
		// it works on runs out first.
		vm.Phase = schema.PhaseRebooting
		vm.Operation = operationID(name, "repair", d.Table.VMs[name].Version)
		vm.OperationBoot = o.Status.Boot
		d.edit(ActionReboot, name, vm, fmt.Sprintf("down for %s: a reboot may repair it", age.Round(time.Second)), statusEvidence(o))
	}
}

// operationID is the same for every process that decides on the same row.
func operationID(vm, why string, version int) string {
	return fmt.Sprintf("%s-%s-%d", vm, why, version)
}

func statusEvidence(o Observation) string {
	if o.Status == nil {
		return "the VM gives no status"
	}
	return fmt.Sprintf("the VM says: state %s, boot %d, last operation %q, %d in flight",
		o.Status.State, o.Status.Boot, o.Status.Operation, o.Status.InFlight)
}

// phases moves VMs on that are out of service by plan.
func (d *decider) phases() {
	for _, name := range d.names {
		vm, o := d.vm(name), d.Observed[name]
		switch vm.Phase {
		case schema.PhaseDraining:
			d.draining(name, vm, o)
		case schema.PhaseRebooting:
			d.rebooting(name, vm, o)
		case schema.PhaseChecking:
			d.checking(name, vm, o)
		case schema.PhaseActive:
			if o.Status != nil && o.Status.State == platform.VMLeaving {
				d.effect(Action{Kind: EffectUndrain, VM: name, Reason: "the VM is active in the table"})
			}
		}
	}
}

// wanted tells that the wave a VM is in still runs; a VM without a wave drains for the buffer.
func (d *decider) wanted(vm schema.VM) bool {
	if vm.Wave == "" {
		return d.size[vm.Pool] > d.Table.Pools[vm.Pool].Value.Size
	}
	return d.Table.Waves[vm.Wave].Value.State == schema.WaveStateRunning
}

func (d *decider) draining(name string, vm schema.VM, o Observation) {
	if !d.wanted(vm) {
		evidence := fmt.Sprintf("wave %q is %s", vm.Wave, d.Table.Waves[vm.Wave].Value.State)
		vm.Phase, vm.Wave = schema.PhaseActive, ""
		d.edit(ActionUngrant, name, vm, "the drain is no longer wanted", evidence)
		return
	}
	if o.Status == nil && d.badFor(o, d.limits.RepairAfter) {
		d.lose(name, vm, "it failed while it drained")
		return
	}
	if blocker := Blocker(d.Table.VMs[name].Version, o); blocker != "" {
		if o.Status != nil && o.Status.State == platform.VMLive {
			d.effect(Action{Kind: EffectDrain, VM: name, Boot: o.Status.Boot, Reason: blocker})
		}
		return
	}
	evidence := fmt.Sprintf("%d entries say that nothing is in flight; %s", len(o.Entries), statusEvidence(o))
	if vm.Wave == "" {
		vm.Phase, vm.Pool = schema.PhaseActive, ""
		d.edit(ActionRelease, name, vm, "its pool has more VMs than its size", evidence)
		return
	}
	vm.Phase = schema.PhaseRebooting
	vm.Operation = operationID(name, vm.Wave, d.Table.VMs[name].Version)
	vm.OperationBoot = o.Status.Boot
	d.edit(ActionReboot, name, vm, "drained in wave "+vm.Wave, evidence)
}

// Blocker says in words what a draining VM waits for, "" when it is empty for certain.
//
// version is that of the row that closed the VM.
func Blocker(version int, o Observation) string {
	if len(o.Entries) == 0 {
		return "no entry has been asked yet"
	}
	for _, e := range o.Entries {
		switch {
		case !e.Reached:
			return fmt.Sprintf("entry %s cannot be reached and may have requests in flight", e.Entry)
		case e.Revision < version:
			return fmt.Sprintf("entry %s has revision %d in force, the drain began at %d", e.Entry, e.Revision, version)
		case e.Count > 0:
			return fmt.Sprintf("entry %s has %d requests in flight", e.Entry, e.Count)
		}
	}
	switch {
	case o.Status == nil:
		return "the VM gives no status"
	case o.Status.State == platform.VMLive:
		return "the VM does not know yet that it is leaving"
	case o.Status.InFlight > 0:
		return fmt.Sprintf("the VM has %d requests in flight", o.Status.InFlight)
	}
	return ""
}

func (d *decider) rebooting(name string, vm schema.VM, o Observation) {
	if d.phaseAge(vm) >= d.limits.ReplaceAfter {
		d.lose(name, vm, "it did not return from its reboot")
		return
	}
	if o.Status == nil {
		return
	}
	if o.Status.Operation != vm.Operation && o.Status.Boot != vm.OperationBoot {
		d.lose(name, vm, "it booted by itself before the operation")
		return
	}
	if o.Status.Operation != vm.Operation {
		d.effect(Action{
			Kind: EffectReboot, VM: name, Operation: vm.Operation, Boot: vm.OperationBoot,
			Reason: "the VM has not carried out the operation",
		})
		return
	}
	if o.Status.State != platform.VMLive {
		return
	}
	vm.Phase = schema.PhaseChecking
	d.edit(ActionCheck, name, vm, "the VM is back from its reboot", statusEvidence(o))
}

func (d *decider) checking(name string, vm schema.VM, o Observation) {
	if d.phaseAge(vm) >= d.limits.ReplaceAfter {
		d.lose(name, vm, "its backend server does not answer probes after the reboot")
		return
	}
	live := o.Status != nil && o.Status.State == platform.VMLive
	fresh := !o.Since.IsZero() && o.Since.UnixMilli() >= int64(vm.PhaseSinceMs)
	if !live || o.Health != HealthGood || !fresh {
		return
	}
	reason := "repaired: its backend server answers probes"
	if vm.Wave != "" {
		reason = fmt.Sprintf("maintained in wave %s: its backend server answers probes", vm.Wave)
		vm.MaintainedBy = vm.Wave
		vm.MaintainedAtMs = int(d.Now.UnixMilli())
	}
	vm.Phase, vm.Wave = schema.PhaseActive, ""
	d.edit(ActionReturn, name, vm, reason, statusEvidence(o))
}

// sizes brings pools to their size from the buffer and back to it.
func (d *decider) sizes() {
	for _, pool := range d.Table.Pools.Names() {
		row := d.Table.Pools[pool].Value
		for d.size[pool] < row.Size {
			name, ok := d.bestFree(pool)
			if !ok {
				break
			}
			vm := d.vm(name)
			vm.Pool = pool
			d.edit(ActionAssign, name, vm, fmt.Sprintf("pool %q has %d of %d VMs", pool, d.size[pool], row.Size),
				fmt.Sprintf("the VM is free and healthy; of the pool's VMs %d are in its zone %q", d.inZone(pool, name), d.Table.ZoneOf(name)))
			if !d.touched[name] {
				return // the step is full
			}
			d.size[pool]++
			d.occupy(pool, name)
		}
		if d.size[pool] > row.Size && d.unavailable[pool] < row.MaxUnavailable {
			d.release(pool)
		}
	}
}

// bestFree returns the free VM that spreads a pool best over zones and racks.
func (d *decider) bestFree(pool string) (best string, ok bool) {
	type rank struct{ zone, rack int }
	var bestRank rank
	for _, name := range d.names {
		vm := d.vm(name)
		if vm.Pool != "" || vm.Phase != schema.PhaseActive || d.touched[name] || d.Observed[name].Health == HealthBad {
			continue
		}
		r := rank{zone: d.inZone(pool, name), rack: d.racks[place{pool, vm.Rack}]}
		if !ok || r.zone < bestRank.zone || r.zone == bestRank.zone && r.rack < bestRank.rack {
			best, bestRank, ok = name, r, true
		}
	}
	return best, ok
}

// place is a failure domain as a pool uses it.
type place struct{ pool, domain string }

// inZone counts the pool's VMs in the zone of a VM.
func (d *decider) inZone(pool, name string) int { return d.zones[place{pool, d.Table.ZoneOf(name)}] }

// occupy counts a VM for the failure domains that it is in.
func (d *decider) occupy(pool, name string) {
	d.zones[place{pool, d.Table.ZoneOf(name)}]++
	d.racks[place{pool, d.vm(name).Rack}]++
}

// release drains the idlest VM of a pool that is too large.
func (d *decider) release(pool string) {
	candidates := d.candidates(func(vm schema.VM) bool { return vm.Pool == pool })
	if len(candidates) == 0 {
		return
	}
	name := candidates[0]
	vm := d.vm(name)
	vm.Phase = schema.PhaseDraining
	d.edit(ActionGrant, name, vm, fmt.Sprintf("pool %q has %d VMs, its size is %d", pool, d.size[pool], d.Table.Pools[pool].Value.Size),
		fmt.Sprintf("%d of its VMs are out of service, the budget is %d", d.unavailable[pool], d.Table.Pools[pool].Value.MaxUnavailable))
	d.unavailable[pool]++
}

// candidates returns healthy active VMs that match, the idlest first, so that long requests get time to run out.
func (d *decider) candidates(match func(schema.VM) bool) (names []string) {
	for _, name := range d.names {
		vm := d.vm(name)
		if vm.Phase == schema.PhaseActive && !d.touched[name] && d.Observed[name].Health == HealthGood && match(vm) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return d.Observed[a].InFlight - d.Observed[b].InFlight })
	return names
}
