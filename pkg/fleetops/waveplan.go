package fleetops

import (
	"math"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// planMargin is the multiple of the least time that a VM needs at which it must begin to drain; the
// rest is for VMs, racks and owners that are lost meanwhile.
const planMargin = 2

// unreachable is the time for a wave that a limit of 0 blocks.
const unreachable = time.Duration(math.MaxInt64)

// Bottleneck is a limit that decides when a wave ends.
type Bottleneck string

// The limits on a wave.
const (
	BottleneckNone    Bottleneck = ""
	BottleneckRound   Bottleneck = "round"    // the time to drain and maintain one VM
	BottleneckMaxDown Bottleneck = "max_down" // the VMs of the wave that may be down at once
	BottleneckPool    Bottleneck = "pool"     // the VMs of a pool that may be drained or down at once
	BottleneckStep    Bottleneck = "step"     // the tasks of a step that may be missing at once
)

// WavePlan says when the VMs of a wave must begin to drain, and what limits the wave.
type WavePlan struct {
	Needs   time.Duration // least time until the last VM is done
	Limit   Bottleneck    // what Needs results from
	LimitOf string        // name of the pool or step

	leads      map[string]time.Duration // least time from the start of a VM's drain to the end of the wave, by VM with limited tasks
	stepsOn    map[string][]*stepPlan   // limited steps with tasks on a VM, by VM
	othersWait bool                     // VMs wait that can't be done already
}

// stepPlan is the state of a step that limits its missing tasks.
type stepPlan struct {
	shard.LimitedStep
	draining int // its tasks on VMs that are being drained
}

// maxActive returns how many VMs of a pool may be drained or down at once.
func maxActive(poolSize int) int { return max(minConcurrent, int(maxPoolShare*float64(poolSize))) }

// rounds returns the time of n VMs or tasks, limit at a time.
func rounds(n, limit int, each time.Duration) time.Duration {
	switch {
	case n <= 0:
		return 0
	case limit <= 0:
		return unreachable
	default:
		return time.Duration((n+limit-1)/limit) * each
	}
}

// plus adds durations without overflow.
func plus(a, b time.Duration) time.Duration {
	if a > unreachable-b {
		return unreachable
	}
	return a + b
}

// PlanWave plans the VMs of a wave that are not done.
func PlanWave(w Wave, vms []*VM, view View) (p WavePlan) {
	p.leads, p.stepsOn = map[string]time.Duration{}, map[string][]*stepPlan{}
	remaining, inPool, poolSize := map[string]*VM{}, map[string]int{}, map[string]int{}
	for _, v := range vms {
		m, listed := view.Machines[v.Name]
		if !listed || v.over() {
			continue
		}
		if v.Phase == PhaseOrdered {
			continue
		}
		p.require(maintenanceRound, BottleneckRound, "")
		remaining[v.Name] = v
		if v.Phase == PhaseWaiting && !view.MaybeDone[v.Name] && m.State == platform.MachineUp {
			p.othersWait = true
		}
		if m.Pool != view.Spare {
			inPool[m.Pool]++
		}
	}
	p.require(rounds(len(remaining), w.MaxDown, maintenanceRound), BottleneckMaxDown, "")
	for _, m := range view.Machines {
		poolSize[m.Pool]++
	}
	for pool, n := range inPool {
		p.require(rounds(n, maxActive(poolSize[pool]), maintenanceRound), BottleneckPool, pool)
	}
	for _, s := range view.Limited {
		p.addStep(s, remaining)
	}
	return p
}

// require raises the least time for the wave. Of equal limits the first name counts.
func (p *WavePlan) require(needs time.Duration, limit Bottleneck, of string) {
	if needs > p.Needs || needs == p.Needs && limit == p.Limit && of < p.LimitOf {
		p.Needs, p.Limit, p.LimitOf = needs, limit, of
	}
}

// addStep adds the tasks of a step on VMs that the wave has yet to drain.
func (p *WavePlan) addStep(s shard.LimitedStep, remaining map[string]*VM) {
	step := &stepPlan{LimitedStep: s}
	n := 0
	for _, vm := range s.VMs {
		v := remaining[vm]
		if v == nil {
			continue
		}
		n++
		if v.Phase == PhaseDraining {
			step.draining++
		}
		p.stepsOn[vm] = append(p.stepsOn[vm], step)
	}
	if n == 0 {
		return
	}
	lead := plus(rounds(n, s.Places, s.Restart), maintenanceRound)
	p.require(lead, BottleneckStep, s.Step)
	for _, vm := range s.VMs {
		if remaining[vm] != nil {
			p.leads[vm] = max(p.leads[vm], lead)
		}
	}
}

// hasLimitedTasks reports whether a VM runs tasks of steps that limit missing tasks.
func (p *WavePlan) hasLimitedTasks(vm string) bool { return len(p.stepsOn[vm]) > 0 }

// mustBegin reports whether a VM has to be drained from now on for the wave to end in time.
func (p *WavePlan) mustBegin(vm string, left time.Duration) bool {
	lead, ok := p.leads[vm]
	return ok && lead >= left/planMargin
}

// mustRepeat reports whether a VM that may be done already has to be drained nevertheless: no other
// VM waits, or the wave would be late.
func (p *WavePlan) mustRepeat(v *VM, left time.Duration) bool {
	return left/planMargin <= max(p.leads[v.Name], maintenanceRound) || !p.othersWait
}

// hasPlace reports whether draining a VM uses a place of a step that VMs being drained leave unused.
func (p *WavePlan) hasPlace(vm string) bool {
	for _, s := range p.stepsOn[vm] {
		if s.draining < s.Places {
			return true
		}
	}
	return false
}

// begin counts a VM as being drained.
func (p *WavePlan) begin(vm string) {
	for _, s := range p.stepsOn[vm] {
		s.draining++
	}
}

// atRisk reports whether a wave can't end in time.
func (p *WavePlan) atRisk(w Wave, elapsed time.Duration) bool {
	return plus(elapsed, p.Needs) > w.Within
}

// countDown returns how many VMs of a wave are down for their maintenance, or may be.
func countDown(vms []*VM, view View) (down int) {
	for _, v := range vms {
		maintained := view.Machines[v.Name].State == platform.MachineMaintenance
		if v.Phase == PhaseOrdered || maintained || v.Phase == PhaseWaiting && view.RecentlyOrdered[v.Name] {
			down++
		}
	}
	return down
}

// maybeDown reports whether a VM is in maintenance or may be, by a recent order.
func maybeDown(view View, vm string) bool {
	return view.Machines[vm].State == platform.MachineMaintenance || view.RecentlyOrdered[vm]
}
