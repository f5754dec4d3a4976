package fleet

import (
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
