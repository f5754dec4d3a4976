package fleet

import (
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Health is the probed state of a VM's backend server.
type Health string

// The states of health.
const (
	HealthUnknown Health = ""
	HealthGood    Health = "good"
	HealthBad     Health = "bad"
)

// Observation is what was observed of one VM.
type Observation struct {
	Health   Health
	Since    time.Time          // when Health last changed, zero if unknown
	Status   *platform.VMStatus // nil if the VM was not asked or did not answer
	Entries  []EntryCount       // requests in flight to a draining VM, by entry
	InFlight int                // from this entry, for ranking VMs
	Listed   platform.VMState   // state in the platform's list, empty if not listed
}

// EntryCount is an entry's report of its requests in flight to a VM.
type EntryCount struct {
	Entry    string
	Reached  bool // the entry answered
	Revision int  // of the table, as in force at the entry
	Count    int  // requests in flight
}

// State is the input of a decision.
type State struct {
	Table    *table.Snapshot
	Now      time.Time
	Observed map[string]Observation // by VM
}

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions. Those named Effect are effects on the platform.
const (
	ActionAssign      ActionKind = "assign"
	ActionRelease     ActionKind = "release"
	ActionStartDrain  ActionKind = "grant"
	ActionCancelDrain ActionKind = "ungrant"
	ActionReboot      ActionKind = "reboot"
	ActionCheck       ActionKind = "check"
	ActionReturn      ActionKind = "return"
	ActionDown        ActionKind = "down"
	ActionUp          ActionKind = "up"
	ActionReplace     ActionKind = "replace"
	ActionWave        ActionKind = "wave"
	EffectDrain       ActionKind = "effect-drain"
	EffectUndrain     ActionKind = "effect-undrain"
	EffectReboot      ActionKind = "effect-reboot"
)

// Action is an edit of the table or an effect on the platform.
type Action struct {
	Kind      ActionKind
	VM        string
	Operation string         // operation ID, of EffectReboot
	Boot      int            // of EffectDrain and EffectReboot: the VM's boot number at the decision
	Changes   []table.Change // of an edit
	Reason    string
	Evidence  string
}

// IsEffect reports whether the action is an effect on the platform.
func (a Action) IsEffect() bool { return strings.HasPrefix(string(a.Kind), "effect-") }

// Limits holds the thresholds of decisions.
type Limits struct {
	DownAfter    time.Duration // bad health for this long takes a VM out of service
	RepairAfter  time.Duration // a VM that is down for this long is rebooted
	ReplaceAfter time.Duration // a VM that is down for this long is replaced in its pool
	MaxActions   int           // per step
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		DownAfter: 3 * time.Second, RepairAfter: 10 * time.Second, ReplaceAfter: 30 * time.Second,
		MaxActions: 32,
	}
}

// Decide returns the next actions, the most urgent first.
func Decide(s State, l Limits) []Action {
	d := newDecider(s, l)
	d.checkHealth()
	d.advancePhases()
	d.resizePools()
	d.advanceWaves()
	return d.actions
}

// decider collects the actions of one step.
type decider struct {
	State
	limits      Limits
	names       []string
	unavailable map[string]int // VMs not in service, by pool
	size        map[string]int // VMs, by pool
	zones       map[domain]int // VMs by pool and zone, including those assigned in this step
	racks       map[domain]int // the same by pool and rack
	actions     []Action
	edited      map[string]bool // VMs edited in this step
}

func newDecider(s State, l Limits) *decider {
	d := &decider{
		State: s, limits: l, names: s.Table.VMs.Names(),
		unavailable: map[string]int{}, size: map[string]int{}, edited: map[string]bool{},
		zones: map[domain]int{}, racks: map[domain]int{},
	}
	for _, name := range d.names {
		vm := d.vm(name)
		if vm.Pool == "" {
			continue
		}
		d.size[vm.Pool]++
		d.countDomains(vm.Pool, name)
		if vm.Phase != schema.PhaseActive || d.Observed[name].Health != HealthGood {
			d.unavailable[vm.Pool]++
		}
	}
	return d
}

func (d *decider) vm(name string) schema.VM { return d.Table.VMs[name].Value }

// stepFull reports whether the step has reached its maximum number of actions.
func (d *decider) stepFull() bool { return len(d.actions) >= d.limits.MaxActions }

// edit adds an edit of one VM row, at most one per VM and step.
func (d *decider) edit(kind ActionKind, name string, vm schema.VM, reason, evidence string) {
	if d.edited[name] || d.stepFull() {
		return
	}
	d.edited[name] = true
	if vm.Phase != d.vm(name).Phase {
		vm.PhaseSinceMs = int(d.Now.UnixMilli())
	}
	d.actions = append(d.actions, Action{
		Kind: kind, VM: name, Reason: reason, Evidence: evidence,
		Changes: []table.Change{change(d.Table, table.Key{Kind: schema.KindVM, Name: name}, vm)},
	})
}

func (d *decider) effect(a Action) {
	if !d.stepFull() {
		d.actions = append(d.actions, a)
	}
}

// change returns a row change that is conditional on the row's version in the snapshot.
func change[T any](s *table.Snapshot, k table.Key, v T) table.Change {
	return table.Change{Key: k, Seen: s.Version(k), Value: table.MustValue(v)}
}
