package fleetops

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

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
	Name  string
	Phase Phase
	Boot  string // the boot that was to end, while it is ordered

	confirmedAt time.Duration // when the VM service took the order, 0 before
}

// back tells whether the VM has come up again since its maintenance was ordered.
// A VM that is switched off has no boot by which to see it: it is back when the
// order was taken and the maintenance must be over.
func (v *VM) back(m platform.Machine, now, takes time.Duration) bool {
	if m.State != platform.MachineUp {
		return false
	}
	if m.Boot != v.Boot {
		return true
	}
	return v.confirmedAt > 0 && now-v.confirmedAt > takes+listLag
}

// maxShare is the part of a pool that may be emptied or down for a wave at
// once; a pool that loses more has no room for the tasks that move.
const maxShare = 0.3

// minAtOnce is how many VMs of a small pool may be emptied or down at once all the same.
const minAtOnce = 2

// listLag is how far the list of VMs may lag behind, with room to spare.
const listLag = 1500 * time.Millisecond

// Next returns the VMs to empty next, so that neither the wave's limit nor the
// share of a pool is exceeded. VMs of the pools with most left go first.
func Next(w Wave, vms []*VM, machines map[string]platform.Machine, spare string) (next []*VM) {
	busy := 0
	inPool := map[string]int{}
	left := map[string]int{}
	size := map[string]int{}
	for _, m := range machines {
		size[m.Pool]++
	}
	for _, v := range vms {
		pool := machines[v.Name].Pool
		switch v.Phase {
		case PhaseEmptying, PhaseOrdered:
			busy++
			inPool[pool]++
		case PhaseWaiting:
			left[pool]++
		}
	}
	waiting := slices.DeleteFunc(slices.Clone(vms), func(v *VM) bool { return v.Phase != PhaseWaiting })
	slices.SortStableFunc(waiting, func(a, b *VM) int {
		return cmp.Compare(left[machines[b.Name].Pool], left[machines[a.Name].Pool])
	})
	for _, v := range waiting {
		m, ok := machines[v.Name]
		if busy >= w.MaxDown || !ok {
			break
		}
		if m.State != platform.MachineUp {
			continue
		}
		if m.Pool != spare && inPool[m.Pool] >= max(minAtOnce, int(maxShare*float64(size[m.Pool]))) {
			continue
		}
		busy++
		inPool[m.Pool]++
		next = append(next, v)
	}
	return next
}
