package fleetops

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// maxShare is the part of a pool that may be emptied or down for a wave at
// once; a pool that loses more has no room for the tasks that move.
const maxShare = 0.3

// minAtOnce is how many VMs of a small pool may be emptied or down at once all the same.
const minAtOnce = 2

// listLag is how far the list of VMs may lag behind, with room to spare.
const listLag = 1500 * time.Millisecond

// roundTime is about how long a VM with work takes to be emptied and maintained.
const roundTime = 5 * time.Second

// Wave is a request to maintain VMs.
type Wave struct {
	ID      int
	VMs     []string
	Within  time.Duration // from the request
	MaxDown int           // VMs of the wave that may be down at once
}

// Phase is how far the maintenance of one VM has come.
type Phase string

// The phases of a VM's maintenance.
const (
	PhaseWaiting  Phase = "waiting"
	PhaseEmptying Phase = "emptying" // its shard's owner moves its tasks away
	PhaseOrdered  Phase = "ordered"  // down, or the order got no answer
	PhaseDone     Phase = "done"     // another boot is up
	PhaseGone     Phase = "gone"     // the VM no longer exists
)

// VM is one VM of a wave.
type VM struct {
	Name   string
	Phase  Phase
	Worker string // ID of the worker that was to end, while it is ordered

	confirmedAt time.Duration // when the VM service took the order, 0 before
}

// back tells whether the VM has come up again since its maintenance was ordered.
// A VM that is switched off has no worker by which to see it, and the next boot may
// have the ID of the last one: it is back when the order was taken and the maintenance
// must be over.
func (v *VM) back(m platform.Machine, now, takes time.Duration) bool {
	if m.State != platform.MachineUp {
		return false
	}
	if m.Worker != v.Worker {
		return true
	}
	return v.confirmedAt > 0 && now-v.confirmedAt > takes+listLag
}

// presses tells whether VMs with work have to be emptied for the wave to end in
// time: half of it is over, or what is left takes about as long as there is.
func (w *Wave) presses(vms int, since time.Duration) bool {
	rounds := (vms + max(w.MaxDown, 1) - 1) / max(w.MaxDown, 1)
	needs := time.Duration(rounds) * roundTime
	return since >= w.Within/2 || since+2*needs >= w.Within
}

// closing tells whether a VM that is moved now would be maintained too late.
func (w *Wave) closing(since time.Duration) bool { return since+roundTime >= w.Within }

// The weights of VMs, by how much their maintenance disturbs.
const (
	weightOff = iota
	weightLight
	weightBusy
)

func weight(m platform.Machine, spare string, light map[string]bool) int {
	switch {
	case m.Pool == spare:
		return weightOff
	case light[m.VM]:
		return weightLight
	default:
		return weightBusy
	}
}

// View is what the next VMs of a wave are chosen by.
type View struct {
	Machines map[string]platform.Machine // by name
	Spare    string                      // pool of VMs that are switched off
	Light    map[string]bool             // VMs with little work
	Tight    map[string]bool             // VMs that take longest to empty
	Recent   map[string]bool             // VMs that a former holder may have ordered down a moment ago
	Former   map[string]bool             // VMs that a former holder ordered last, some of which are done and not known to be
	Since    time.Duration               // since the wave was requested
}

// tally counts VMs for the limits on a wave.
type tally struct {
	busy   int            // VMs of the wave that are being emptied or are down
	inPool map[string]int // those of them in each pool
	tight  map[string]int // those of these that take longest to empty
	left   map[string]int // VMs of the wave that wait, by pool
	size   map[string]int // all VMs of each pool
}

func tallyOf(vms []*VM, view View) tally {
	t := tally{inPool: map[string]int{}, tight: map[string]int{}, left: map[string]int{}, size: map[string]int{}}
	for _, m := range view.Machines {
		t.size[m.Pool]++
	}
	for _, v := range vms {
		m := view.Machines[v.Name]
		switch v.Phase {
		case PhaseEmptying, PhaseOrdered:
			t.busy++
			t.inPool[m.Pool]++
			if v.Phase == PhaseEmptying && view.Tight[v.Name] {
				t.tight[m.Pool]++
			}
		case PhaseWaiting:
			t.left[m.Pool]++
			if m.State == platform.MachineMaintenance || view.Recent[v.Name] {
				t.busy++ // by an order of a former holder
				t.inPool[m.Pool]++
			}
		}
	}
	return t
}

// last puts those for which it holds behind the others.
func last(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Next returns the VMs to empty next, so that neither the wave's limit nor the
// share of a pool is exceeded: first those that are switched off, then those
// with little work, and the others once the time since the request presses. In a
// deployment whose VMs move with demand most are without work at some moment. One in each
// pool that takes longest to empty is begun with at once, since it may take a whole wave.
func Next(w Wave, vms []*VM, view View) (next []*VM) {
	machines, spare, light := view.Machines, view.Spare, view.Light
	t := tallyOf(vms, view)
	pressing := w.presses(len(vms), view.Since)
	waiting := slices.DeleteFunc(slices.Clone(vms), func(v *VM) bool { return v.Phase != PhaseWaiting })
	slices.SortStableFunc(waiting, func(a, b *VM) int {
		return cmp.Or(
			cmp.Compare(weight(machines[a.Name], spare, light), weight(machines[b.Name], spare, light)),
			last(view.Former[a.Name], view.Former[b.Name]),
			last(!view.Tight[a.Name], !view.Tight[b.Name]),
			cmp.Compare(t.left[machines[b.Name].Pool], t.left[machines[a.Name].Pool]),
		)
	})
	for _, v := range waiting {
		m, ok := machines[v.Name]
		if t.busy >= w.MaxDown {
			break
		}
		if !ok || m.State != platform.MachineUp || view.Recent[v.Name] {
			continue
		}
		if !pressing && weight(m, spare, light) == weightBusy && (!view.Tight[v.Name] || t.tight[m.Pool] > 0) {
			continue
		}
		if m.Pool != spare && t.inPool[m.Pool] >= max(minAtOnce, int(maxShare*float64(t.size[m.Pool]))) {
			continue
		}
		t.busy++
		t.inPool[m.Pool]++
		if view.Tight[v.Name] {
			t.tight[m.Pool]++
		}
		next = append(next, v)
	}
	return next
}
