package fleetops

import (
	"cmp"
	"math"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// SizingPolicy is how generously pools are sized.
type SizingPolicy struct {
	Headroom float64 // part of the demand that a pool has beyond it
	Reserve  int     // VMs that a pool has beyond its demand
	// KeepSteps is for how many steps in a row a VM must not be needed before it is switched off.
	KeepSteps int
	// MaxLeaving bounds the VMs that are emptied for a move at the same time in
	// one pool; in a pool of many VMs LeavingShare of them is the bound.
	MaxLeaving   int
	LeavingShare float64
	// SwitchOffShare is the part of what a pool has left over that is switched off in one step.
	SwitchOffShare float64
}

// DefaultSizing was measured on the users' standard days: a VM-second costs
// little against late jobs, and a move costs about one VM-second, so that a VM
// which nothing needs for 1.5 s (six steps) is better off. The shares
// let a pool of 200 VMs follow a change of demand as fast as one of 20.
var DefaultSizing = SizingPolicy{
	Headroom: 0.15, Reserve: 1, KeepSteps: 6, MaxLeaving: 6, LeavingShare: 0.3, SwitchOffShare: 0.3,
}

// fullUse is the part of a pool's processors in use from which an owner at its own
// limit counts as filling the VMs it has. A pool that was held to the VMs it had sank
// from 58 to 36 while a wave took some of them.
const fullUse = 0.85

// mayLeave is how many VMs of a pool may be emptied for a move at the same time.
func (p SizingPolicy) mayLeave(supply int) int {
	return max(p.MaxLeaving, int(p.LeavingShare*float64(supply)))
}

// PoolState is what sizing knows of one pool.
type PoolState struct {
	Name   string
	Spare  bool
	Load   shard.Load // zero for the spare pool
	Supply int        // VMs that are in the pool or on their way into it
	Idle   []string   // VMs that may leave at once, best first
	Surely int        // steps in a row in which VMs were left over
}

// Move is a VM's change of pool.
type Move struct {
	VM   string
	From string
	To   string
	Why  string
}

// Want is how many VMs a pool should have.
func (p SizingPolicy) Want(l shard.Load) int {
	if l.VMCapacity.CPU == 0 {
		return l.Floor
	}
	// Tasks wait only once there are too few VMs; the flow of jobs tells sooner.
	need := max(share(l.Used, l.Waiting, l.VMCapacity), share(l.Arriving, platform.Resources{}, l.VMCapacity))
	want := int(math.Ceil(need*(1+p.Headroom))) + p.Reserve
	if l.AtLimit && l.Used.CPU < int(fullUse*float64(l.Capacity.CPU)) {
		want = min(want, l.Workers) // its owner does not fill those it has
	}
	return max(want, l.Floor)
}

// share is the demand in VMs, by the resource that binds.
func share(used, waiting, one platform.Resources) float64 {
	part := func(u, w, c int) float64 {
		if c == 0 {
			return 0
		}
		return float64(u+w) / float64(c)
	}
	return max(part(used.CPU, waiting.CPU, one.CPU), part(used.MemoryMB, waiting.MemoryMB, one.MemoryMB), part(used.GPU, waiting.GPU, one.GPU))
}

// PlanMoves returns the moves that bring pools nearer to what they should have:
// to those that lack most, from the spare pool first and then from pools with
// VMs left over; VMs that no pool needs go to the spare pool after a while.
func (p SizingPolicy) PlanMoves(pools []*PoolState) (moves []Move) {
	pl := plan{surplus: map[string]int{}}
	var short []*PoolState
	spare := ""
	for _, s := range pools {
		if s.Spare {
			spare = s.Name
			pl.surplus[s.Name] = len(s.Idle)
			continue
		}
		pl.surplus[s.Name] = s.Supply - p.Want(s.Load)
		if pl.surplus[s.Name] < 0 {
			short = append(short, s)
		}
	}
	pl.fill(short, pools)
	if spare == "" || len(short) > 0 {
		return pl.moves
	}
	for _, s := range pools {
		if s.Spare || s.Surely < p.KeepSteps {
			continue
		}
		for range int(math.Ceil(p.SwitchOffShare * float64(pl.surplus[s.Name]))) {
			pl.take(s, spare, "the pool has had more than its demand for a while")
		}
	}
	return pl.moves
}

// plan is the moves found so far.
type plan struct {
	moves   []Move
	surplus map[string]int // VMs beyond what a pool should have after the moves, by pool
}

// fill plans moves to the pools that are short, those that lack most first.
func (pl *plan) fill(short, pools []*PoolState) {
	slices.SortStableFunc(short, func(a, b *PoolState) int { return cmp.Compare(pl.surplus[a.Name], pl.surplus[b.Name]) })
	donors := slices.Clone(pools)
	for _, s := range short {
		slices.SortStableFunc(donors, func(a, b *PoolState) int {
			return cmp.Or(cmp.Compare(notSpare(a), notSpare(b)), cmp.Compare(pl.surplus[b.Name], pl.surplus[a.Name]))
		})
		for _, d := range donors {
			for pl.surplus[s.Name] < 0 && d != s && pl.take(d, s.Name, "demand is above what the pool has") {
				pl.surplus[s.Name]++
			}
		}
	}
}

// take plans the move of a pool's best idle VM, if the pool can spare one.
func (pl *plan) take(from *PoolState, to, why string) bool {
	if pl.surplus[from.Name] <= 0 || len(from.Idle) == 0 {
		return false
	}
	pl.moves = append(pl.moves, Move{VM: from.Idle[0], From: from.Name, To: to, Why: why})
	from.Idle = from.Idle[1:]
	pl.surplus[from.Name]--
	return true
}

func notSpare(s *PoolState) int {
	if s.Spare {
		return 0
	}
	return 1
}
