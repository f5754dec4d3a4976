package fleetops

import (
	"cmp"
	"math"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// SizingPolicy holds the parameters of pool sizing.
type SizingPolicy struct {
	Headroom float64 // extra capacity, as a fraction of the demand
	Reserve  int     // extra VMs on top of the headroom
	// KeepSteps is the number of consecutive steps for which a pool must have surplus VMs before
	// they are moved to the spare pool.
	KeepSteps int
	// MaxDraining limits the VMs of one pool that are drained for a move at the same time; in a
	// large pool the limit is the fraction DrainingShare of its VMs.
	MaxDraining   int
	DrainingShare float64
	// SwitchOffShare is the fraction of a pool's surplus that moves to the spare pool in one step.
	SwitchOffShare float64
	// MoveGain is the fraction of a pool's share that the pool must be above or below it before VMs with
	// running tasks move, so that VMs are not moved back soon.
	MoveGain float64
}

// DefaultSizing prefers jobs that finish in time to few running VMs. A move costs about as much as a VM
// does in a second, so that VMs leave a pool only after 1.5 s of surplus, which is KeepSteps. The fractions
// let large pools follow a change of demand as fast as small ones.
var DefaultSizing = SizingPolicy{
	Headroom: 0.15, Reserve: 1, KeepSteps: 6, MaxDraining: 6, DrainingShare: 0.3, SwitchOffShare: 0.3, MoveGain: 0.1,
}

// fullUtilization is the fraction of used CPU from which a pool counts as fully used. Below it, an
// owner at its own throughput limit could not use more VMs. At or above it such a pool has to be able to
// grow, or it shrinks for good as a wave takes VMs from it.
const fullUtilization = 0.85

// maxDraining returns how many VMs of a pool may be drained for moves at the same time.
func (p SizingPolicy) maxDraining(supply int) int {
	return max(p.MaxDraining, int(p.DrainingShare*float64(supply)))
}

// PoolState is the input of sizing for one pool.
type PoolState struct {
	Name         string
	Spare        bool       // the spare pool: its VMs run no worker until they are moved
	Load         shard.Load // zero for the spare pool
	Supply       int        // VMs in the pool or on their way to it
	Movable      []string   // VMs that may leave now, best first
	Ending       []string   // further VMs that may leave once their short tasks have ended, soonest first
	SurplusSteps int        // consecutive steps with surplus VMs

	Need  Need // set by SetShares
	Share int  // VMs that the pool should have, at most Need.Target; set by SetShares
}

// worthMove returns the number of VMs above or below a pool's share from which VMs with running tasks
// move.
func (p SizingPolicy) worthMove(s *PoolState) int { return max(1, int(p.MoveGain*float64(s.Share))) }

// Move moves a VM to another pool.
type Move struct {
	VM     string
	From   string
	To     string
	Reason string
}

// TargetSize returns the number of VMs that a pool should have.
func (p SizingPolicy) TargetSize(l shard.Load) int {
	if l.VMCapacity.CPU == 0 {
		return l.Floor
	}
	// The arrival rate rises before tasks begin to wait.
	need := max(demandInVMs(l.Used, l.Waiting, l.VMCapacity), demandInVMs(l.Arriving, platform.Resources{}, l.VMCapacity))
	want := int(math.Ceil(need*(1+p.Headroom))) + p.Reserve
	if l.AtLimit && l.Used.CPU < int(fullUtilization*float64(l.Capacity.CPU)) {
		want = min(want, l.Workers) // its owner could not use more VMs
	}
	return max(want, l.Floor)
}

// demandInVMs returns the demand in VMs, by the scarcest resource.
func demandInVMs(used, waiting, perVM platform.Resources) float64 {
	part := func(u, w, c int) float64 {
		if c == 0 {
			return 0
		}
		return float64(u+w) / float64(c)
	}
	return max(part(used.CPU, waiting.CPU, perVM.CPU), part(used.MemoryMB, waiting.MemoryMB, perVM.MemoryMB), part(used.GPU, waiting.GPU, perVM.GPU))
}

// SetShares sets the needs and shares of pools, and returns the first kind of need that does not fit
// into their VMs and the movable spare ones.
func (p SizingPolicy) SetShares(pools []*PoolState) ShareLevel {
	vms := 0
	needs := make([]Need, len(pools))
	for i, s := range pools {
		if s.Spare {
			vms += len(s.Movable)
			continue
		}
		vms += s.Supply
		needs[i] = p.need(s.Load)
	}
	shares, level := Share(needs, vms)
	for i, s := range pools {
		s.Need, s.Share = needs[i], shares[i]
	}
	return level
}

// PlanMoves returns the moves that bring pools closer to the shares set by SetShares. Pools with the
// largest deficit come first; they get VMs from the spare pool, then from pools with a surplus, idle
// VMs before those with short tasks. If no pool is below its target size, a lasting surplus moves to
// the spare pool.
func (p SizingPolicy) PlanMoves(pools []*PoolState) (moves []Move) {
	pl := movePlan{policy: p, surplus: map[string]int{}}
	var short []*PoolState
	spare, belowTarget := "", false
	for _, s := range pools {
		if s.Spare {
			spare = s.Name
			pl.surplus[s.Name] = len(s.Movable)
			continue
		}
		pl.surplus[s.Name] = s.Supply - s.Share
		if pl.surplus[s.Name] < 0 {
			short = append(short, s)
		}
		belowTarget = belowTarget || s.Supply < s.Need.Target
	}
	pl.fillDeficits(short, pools)
	if spare == "" || belowTarget {
		return pl.moves
	}
	for _, s := range pools {
		if s.Spare || s.SurplusSteps < p.KeepSteps {
			continue
		}
		for range int(math.Ceil(p.SwitchOffShare * float64(pl.surplus[s.Name]))) {
			pl.addMove(s, spare, "the pool's surplus has lasted")
		}
	}
	return pl.moves
}

// movePlan accumulates moves.
type movePlan struct {
	policy  SizingPolicy
	moves   []Move
	surplus map[string]int // by pool: VMs above the share after the planned moves
}

// fillDeficits plans moves to the pools that are short of VMs, largest deficit first.
func (pl *movePlan) fillDeficits(short, pools []*PoolState) {
	slices.SortStableFunc(short, func(a, b *PoolState) int { return cmp.Compare(pl.surplus[a.Name], pl.surplus[b.Name]) })
	donors := slices.Clone(pools)
	for _, s := range short {
		worthBusy := -pl.surplus[s.Name] >= pl.policy.worthMove(s)
		slices.SortStableFunc(donors, func(a, b *PoolState) int {
			return cmp.Or(cmp.Compare(spareRank(a), spareRank(b)), cmp.Compare(pl.surplus[b.Name], pl.surplus[a.Name]))
		})
		for _, d := range donors {
			for pl.surplus[s.Name] < 0 && d != s && pl.addMove(d, s.Name, "the pool is below its share") {
				pl.surplus[s.Name]++
			}
		}
		for _, d := range donors {
			for worthBusy && pl.surplus[s.Name] < 0 && d != s && pl.addBusyMove(d, s.Name) {
				pl.surplus[s.Name]++
			}
		}
	}
}

// addBusyMove plans the move of the VM whose short tasks end soonest, if the pool has enough VMs above
// its share.
func (pl *movePlan) addBusyMove(from *PoolState, to string) bool {
	if len(from.Ending) == 0 || pl.surplus[from.Name] < pl.policy.worthMove(from) {
		return false
	}
	pl.moves = append(pl.moves, Move{VM: from.Ending[0], From: from.Name, To: to, Reason: "its tasks end soon and the pool is below its share"})
	from.Ending = from.Ending[1:]
	pl.surplus[from.Name]--
	return true
}

// addMove plans the move of a pool's best movable VM, if the pool has a surplus.
func (pl *movePlan) addMove(from *PoolState, to, reason string) bool {
	if pl.surplus[from.Name] <= 0 || len(from.Movable) == 0 {
		return false
	}
	pl.moves = append(pl.moves, Move{VM: from.Movable[0], From: from.Name, To: to, Reason: reason})
	from.Movable = from.Movable[1:]
	pl.surplus[from.Name]--
	return true
}

// spareRank orders the spare pool first.
func spareRank(s *PoolState) int {
	if s.Spare {
		return 0
	}
	return 1
}
