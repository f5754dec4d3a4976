package fleetops

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// maxPoolShare is the fraction of a pool that waves may drain or take down at once, so that the
// rest has room for the tasks that move.
const maxPoolShare = 0.3

// minConcurrent is the number of VMs of a small pool that may be drained or down at once
// regardless of maxPoolShare.
const minConcurrent = 2

// maxListLag is how far the VM list may lag behind.
const maxListLag = 1500 * time.Millisecond

// maintenanceRound is about how long draining and maintaining a busy VM takes.
const maintenanceRound = 5 * time.Second

// Wave is a request to maintain VMs.
type Wave struct {
	ID      int
	VMs     []string
	Within  time.Duration // time allowed, from the request on
	MaxDown int           // VMs of the wave that may be down at once
}

// Phase is the state of one VM's maintenance.
type Phase string

// The phases of a VM's maintenance.
const (
	PhaseWaiting  Phase = "waiting"
	PhaseDraining Phase = "emptying" // its shard's owner moves its tasks away
	PhaseOrdered  Phase = "ordered"  // down, or the order was not answered
	PhaseDone     Phase = "done"     // up again after its maintenance
	PhaseGone     Phase = "gone"     // the VM no longer exists
)

// VM is one VM of a wave.
type VM struct {
	Name   string
	Phase  Phase
	Worker string // ID of the worker before maintenance, set once ordered

	confirmedAt time.Duration // when the VM service accepted the order, 0 before
}

// returned reports whether the VM is up again after its maintenance. A switched-off VM shows no
// new worker ID, so it counts as returned once the maintenance must be over.
func (v *VM) returned(m platform.Machine, now, takes time.Duration) bool {
	if m.State != platform.MachineUp {
		return false
	}
	if m.Worker != v.Worker {
		return true
	}
	return v.confirmedAt > 0 && now-v.confirmedAt > takes+maxListLag
}

// urgent reports whether busy VMs have to be drained for the wave to end in time: half of its time
// is over, or the rest is needed for the remaining rounds.
func (w *Wave) urgent(vms int, since time.Duration) bool {
	rounds := (vms + max(w.MaxDown, 1) - 1) / max(w.MaxDown, 1)
	needs := time.Duration(rounds) * maintenanceRound
	return since >= w.Within/2 || since+2*needs >= w.Within
}

// nearDeadline reports whether a VM that is moved now would be maintained after the deadline.
func (w *Wave) nearDeadline(since time.Duration) bool { return since+maintenanceRound >= w.Within }

// How much the maintenance of a VM disrupts running tasks.
const (
	disruptionNone = iota
	disruptionLow
	disruptionHigh
)

func disruption(m platform.Machine, spare string, light map[string]bool) int {
	switch {
	case m.Pool == spare:
		return disruptionNone
	case light[m.VM]:
		return disruptionLow
	default:
		return disruptionHigh
	}
}

// View is the fleet state by which SelectVMs chooses.
type View struct {
	Machines        map[string]platform.Machine // by name
	Spare           string                      // pool of switched-off VMs
	Light           map[string]bool             // VMs with little work
	SlowToDrain     map[string]bool             // VMs that take longest to drain
	RecentlyOrdered map[string]bool             // VMs that a former holder may have ordered down very recently
	OrderedByFormer map[string]bool             // VMs that a former holder ordered last and that may be done
	Elapsed         time.Duration               // time since the wave was requested
}

// waveCounts counts VMs for the limits on a wave.
type waveCounts struct {
	active       int            // VMs of the wave that are being drained or down
	activeInPool map[string]int // the same by pool
	slowDrains   map[string]int // VMs being drained that take longest, by pool
	waiting      map[string]int // VMs of the wave that wait, by pool
	poolSize     map[string]int // all VMs, by pool
}

func countVMs(vms []*VM, view View) waveCounts {
	t := waveCounts{activeInPool: map[string]int{}, slowDrains: map[string]int{}, waiting: map[string]int{}, poolSize: map[string]int{}}
	for _, m := range view.Machines {
		t.poolSize[m.Pool]++
	}
	for _, v := range vms {
		m := view.Machines[v.Name]
		switch v.Phase {
		case PhaseDraining, PhaseOrdered:
			t.active++
			t.activeInPool[m.Pool]++
			if v.Phase == PhaseDraining && view.SlowToDrain[v.Name] {
				t.slowDrains[m.Pool]++
			}
		case PhaseWaiting:
			t.waiting[m.Pool]++
			if m.State == platform.MachineMaintenance || view.RecentlyOrdered[v.Name] {
				t.active++ // ordered by a former holder
				t.activeInPool[m.Pool]++
			}
		}
	}
	return t
}

// compareLast orders false before true.
func compareLast(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// SelectVMs returns the VMs of a wave to drain next, within the wave's limit and the share of each
// pool. Switched-off VMs go first, then VMs with little work, and busy VMs only when the wave is
// urgent. One VM per pool among those that take longest to drain starts right away, since it may
// need the whole wave.
func SelectVMs(w Wave, vms []*VM, view View) (next []*VM) {
	machines, spare, light := view.Machines, view.Spare, view.Light
	t := countVMs(vms, view)
	isUrgent := w.urgent(len(vms), view.Elapsed)
	waiting := slices.DeleteFunc(slices.Clone(vms), func(v *VM) bool { return v.Phase != PhaseWaiting })
	slices.SortStableFunc(waiting, func(a, b *VM) int {
		return cmp.Or(
			cmp.Compare(disruption(machines[a.Name], spare, light), disruption(machines[b.Name], spare, light)),
			compareLast(view.OrderedByFormer[a.Name], view.OrderedByFormer[b.Name]),
			compareLast(!view.SlowToDrain[a.Name], !view.SlowToDrain[b.Name]),
			cmp.Compare(t.waiting[machines[b.Name].Pool], t.waiting[machines[a.Name].Pool]),
		)
	})
	for _, v := range waiting {
		m, ok := machines[v.Name]
		if t.active >= w.MaxDown {
			break
		}
		if !ok || m.State != platform.MachineUp || view.RecentlyOrdered[v.Name] {
			continue
		}
		if !isUrgent && disruption(m, spare, light) == disruptionHigh && (!view.SlowToDrain[v.Name] || t.slowDrains[m.Pool] > 0) {
			continue
		}
		if m.Pool != spare && t.activeInPool[m.Pool] >= max(minConcurrent, int(maxPoolShare*float64(t.poolSize[m.Pool]))) {
			continue
		}
		t.active++
		t.activeInPool[m.Pool]++
		if view.SlowToDrain[v.Name] {
			t.slowDrains[m.Pool]++
		}
		next = append(next, v)
	}
	return next
}
