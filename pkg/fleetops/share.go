package fleetops

import (
	"math"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// lateShare is the fraction of the VMs kept for late work while other work does not fit, so that late
// work is done in the end.
const lateShare = 0.05

// Need is the number of VMs that a pool needs, by urgency. Each number includes those before it.
type Need struct {
	Floor      int // for its long-running tasks
	Guaranteed int // and for jobs that can be in time, within the guaranteed rates of accounts
	Excess     int // and for jobs that can be in time, over those rates
	All        int // and for late jobs
	Target     int // and as headroom, see SizingPolicy.TargetSize
}

// ShareLevel names the first kind of need that does not fit into the VMs.
type ShareLevel string

// The kinds of need, most urgent first.
const (
	LevelFloor      ShareLevel = "floor"
	LevelGuaranteed ShareLevel = "guaranteed"
	LevelExcess     ShareLevel = "excess"
	LevelLate       ShareLevel = "late"
	LevelHeadroom   ShareLevel = "headroom"
	LevelNone       ShareLevel = "none" // the targets of all pools fit
)

// Share divides VMs among pools. If the targets fit, each pool gets its target. Otherwise each kind of
// need is met before the next; the pools share what is left for the first kind that does not fit at
// an equal level, so that each gets the level or what it needs.
func Share(needs []Need, vms int) (shares []int, level ShareLevel) {
	shares = make([]int, len(needs))
	left := max(vms, 0)
	if totalOf(needs, func(n Need) int { return n.Target }) <= left {
		for i, n := range needs {
			shares[i] = n.Target
		}
		return shares, LevelNone
	}
	reserve := lateReserve(needs, left)
	kinds := []struct {
		level   ShareLevel
		need    func(Need) int
		reserve int // VMs kept for later kinds
	}{
		{LevelFloor, func(n Need) int { return n.Floor }, 0},
		{LevelGuaranteed, func(n Need) int { return n.Guaranteed }, reserve},
		{LevelExcess, func(n Need) int { return n.Excess }, reserve},
		{LevelLate, func(n Need) int { return n.All }, 0},
		{LevelHeadroom, func(n Need) int { return n.Target }, 0},
	}
	level = LevelNone
	for _, k := range kinds {
		more := make([]int, len(needs))
		for i, n := range needs {
			more[i] = max(0, k.need(n)-shares[i])
		}
		given := giveEqually(shares, more, max(0, left-k.reserve))
		left -= given
		if level == LevelNone && given < sum(more) {
			level = k.level
		}
	}
	return shares, level
}

// lateReserve returns the number of VMs to keep for late work.
func lateReserve(needs []Need, vms int) int {
	late := totalOf(needs, func(n Need) int { return max(0, n.All-n.Excess) })
	return min(late, int(math.Ceil(lateShare*float64(vms))))
}

// giveEqually raises shares by at most more, to an equal level, as far as vms suffice. It returns the
// number of VMs given.
func giveEqually(shares, more []int, vms int) (given int) {
	wanted := sum(more)
	if wanted <= vms {
		for i := range shares {
			shares[i] += more[i]
		}
		return wanted
	}
	upTo := func(level int) (n int) {
		for i := range shares {
			n += raise(shares[i], more[i], level)
		}
		return n
	}
	level, high := 0, slices.Max(shares)+slices.Max(more)
	for level < high { // the highest level that the VMs suffice for
		if middle := (level + high + 1) / 2; upTo(middle) <= vms {
			level = middle
		} else {
			high = middle - 1
		}
	}
	given = upTo(level)
	for i := range shares {
		n := raise(shares[i], more[i], level)
		shares[i] += n
		if given < vms && more[i] > n && shares[i] == level { // fewer are left than pools at the level
			shares[i]++
			given++
		}
	}
	return given
}

// raise returns by how much a share is raised to reach a level.
func raise(share, more, level int) int { return min(more, max(0, level-share)) }

func sum(xs []int) (n int) {
	for _, x := range xs {
		n += x
	}
	return n
}

func totalOf(needs []Need, of func(Need) int) (n int) {
	for _, need := range needs {
		n += of(need)
	}
	return n
}

// need returns the number of VMs that a pool needs, by urgency.
func (p SizingPolicy) need(l shard.Load) (n Need) {
	n.Floor, n.Target = l.Floor, p.TargetSize(l)
	held := l.Held
	if held == (shard.Demand{}) {
		held.Guaranteed = l.Used.Add(l.Waiting) // from an owner of an earlier version
	}
	guaranteed, excess := held.Guaranteed, held.Guaranteed.Add(held.Excess)
	n.Guaranteed = vmsFor(guaranteed, l.Arriving.Sub(l.ArrivingExcess), l)
	n.Excess = vmsFor(excess, l.Arriving, l)
	n.All = vmsFor(l.Used.Add(l.Waiting), l.Arriving, l)
	n.Guaranteed = min(max(n.Guaranteed, n.Floor), n.Target)
	n.Excess = min(max(n.Excess, n.Guaranteed), n.Target)
	n.All = min(max(n.All, n.Excess), n.Target)
	return n
}

// vmsFor returns the number of VMs for the work at hand and for arriving work, whichever is larger.
func vmsFor(held, arriving platform.Resources, l shard.Load) int {
	if l.VMCapacity.CPU == 0 {
		return 0
	}
	none := platform.Resources{}
	return int(math.Ceil(max(demandInVMs(held, none, l.VMCapacity), demandInVMs(arriving, none, l.VMCapacity))))
}
