package fleetops

import (
	"math"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// EvacuatedPool is the input of PlanEvacuatedMoves for one pool other than the spare pool: its VMs in
// evacuated zones, which run nothing new but can be moved.
type EvacuatedPool struct {
	Name         string
	Deficit      int      // VMs that the pool lacks after all other moves, negative for a surplus
	VMs          int      // in evacuated zones and in the pool or on their way to it
	Movable      []string // those without work that may be moved now
	SurplusSteps int      // consecutive steps in which the pool had VMs to move
}

// surplus returns how many VMs may leave the pool: it keeps as many as it lacks, for when their zone is
// back.
func (p *EvacuatedPool) surplus() int {
	return max(0, min(len(p.Movable), p.VMs-max(0, p.Deficit)))
}

// PlanEvacuatedMoves returns the next moves of idle VMs in evacuated zones to the spare pool, where they
// cost nothing.
func (p SizingPolicy) PlanEvacuatedMoves(pools []EvacuatedPool, spare string) (moves []Move) {
	for i := range pools {
		from := &pools[i]
		if from.SurplusSteps < p.KeepSteps {
			continue // so that VMs don't follow each change of demand
		}
		n := int(math.Ceil(p.SwitchOffShare * float64(from.surplus())))
		for _, vm := range from.Movable[:n] {
			moves = append(moves, Move{VM: vm, From: from.Name, To: spare, Reason: "the VM's zone is evacuated"})
		}
	}
	return moves
}

// planEvacuated plans the moves of VMs in evacuated zones, after the planned moves of others.
func (r *Runner) planEvacuated(pools []*PoolState, planned []Move, machines map[string]platform.Machine) []Move {
	spare := r.sparePool()
	vms := r.countEvacuated(machines)
	if spare == "" || len(vms) == 0 {
		clear(r.evacuatedSurplus)
		return nil
	}
	arriving := map[string]int{}
	for _, m := range planned {
		arriving[m.To]++
	}
	inWaves := r.awaitingMaintenance()
	var evacuated []EvacuatedPool
	for _, s := range pools {
		if s.Spare {
			continue
		}
		p := EvacuatedPool{
			Name: s.Name, VMs: vms[s.Name], Movable: r.idleEvacuated(s.Load.Light, s.Name, machines, inWaves),
			Deficit: r.policy.TargetSize(s.Load) - s.Supply - arriving[s.Name],
		}
		if p.surplus() == 0 {
			delete(r.evacuatedSurplus, s.Name)
			continue
		}
		r.evacuatedSurplus[s.Name]++
		p.SurplusSteps = r.evacuatedSurplus[s.Name]
		evacuated = append(evacuated, p)
	}
	return r.policy.PlanEvacuatedMoves(evacuated, spare)
}

// countEvacuated counts the VMs in evacuated zones by the pool that they are in or move to.
func (r *Runner) countEvacuated(machines map[string]platform.Machine) map[string]int {
	vms := map[string]int{}
	for vm, m := range machines {
		if m.State == platform.MachineDown || !r.cfg.ZoneEvacuated(m.Zone) {
			continue
		}
		pool := m.Pool
		if ordered := r.moves[vm]; ordered != nil {
			pool = ordered.To
		}
		vms[pool]++
	}
	return vms
}

// idleEvacuated returns those of a pool's light VMs that are in an evacuated zone and may be moved. The
// VMs in inWaves stay until they are maintained.
func (r *Runner) idleEvacuated(light []string, pool string, machines map[string]platform.Machine, inWaves map[string]bool) (idle []string) {
	for _, vm := range light {
		if !inWaves[vm] && r.movableEvacuated(vm, pool, machines) {
			idle = append(idle, vm)
		}
	}
	return idle
}

// movableEvacuated reports whether a VM of a pool is in an evacuated zone and may be moved.
func (r *Runner) movableEvacuated(vm, pool string, machines map[string]platform.Machine) bool {
	m, ok := machines[vm]
	if !ok || m.Pool != pool || m.State != platform.MachineUp || !r.cfg.ZoneEvacuated(m.Zone) {
		return false
	}
	return r.moves[vm] == nil && r.mayOrderFor(vm)
}

// awaitingMaintenance returns the VMs that open waves have yet to maintain.
func (r *Runner) awaitingMaintenance() map[string]bool {
	vms := map[string]bool{}
	for _, w := range r.openWaves() {
		for _, v := range w.vms {
			if v.Phase != PhaseDone && v.Phase != PhaseGone {
				vms[v.Name] = true
			}
		}
	}
	return vms
}
