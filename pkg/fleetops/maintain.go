package fleetops

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// wave is a wave under way.
type wave struct {
	Wave
	vms   []*VM
	begun time.Duration // when this entry saw the request first, or half of its time before that

	loaded    bool // what was done before was read
	changed   bool // what is done differs from what is kept
	reported  bool // the operator was told of the wave
	completed bool // all is done, and the operator was told
}

// takeWaves takes the requests for maintenance that have come since the last
// step, also those that came while this entry was taking the work over.
func (r *Runner) takeWaves() {
	requested := r.cfg.Waves()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range requested {
		if r.waves[w.ID] != nil {
			continue
		}
		state := &wave{Wave: w, begun: r.now()}
		for _, vm := range w.VMs {
			state.vms = append(state.vms, &VM{Name: vm, Phase: PhaseWaiting})
		}
		r.waves[w.ID] = state
		r.log.Info().Str("event", "wave_requested").Int("wave", w.ID).Int("vms", len(w.VMs)).Int("max_down", w.MaxDown).Dur("within", w.Within).Send()
	}
}

// openWaves returns the waves that are not completed.
func (r *Runner) openWaves() (open []*wave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.waves {
		if !w.completed {
			open = append(open, w)
		}
	}
	return open
}

// loadedWaves returns the open waves whose progress is known.
func (r *Runner) loadedWaves(ctx context.Context) (known []*wave) {
	for _, w := range r.openWaves() {
		err := r.loadProgress(ctx, w)
		r.noteFailure(ctx, w, err)
		if err == nil && !w.completed {
			known = append(known, w)
		}
	}
	return known
}

// choose takes the list of VMs into account, and begins with the next VMs of a wave.
func (r *Runner) choose(w *wave, machines map[string]platform.Machine, mayOrder bool) {
	r.observe(w, machines)
	if !mayOrder {
		return
	}
	for _, v := range Next(w.Wave, w.vms, r.view(w, machines)) {
		if r.moves[v.Name] == nil {
			r.setPhase(w, v, PhaseEmptying, "a place in the wave is free")
		}
	}
}

// observe takes the list of VMs into account.
func (r *Runner) observe(w *wave, machines map[string]platform.Machine) {
	for _, v := range w.vms {
		m, ok := machines[v.Name]
		switch {
		case v.Phase == PhaseDone || v.Phase == PhaseGone:
		case !ok:
			r.setPhase(w, v, PhaseGone, "the VM is no longer listed")
		case v.Phase == PhaseOrdered && v.back(m, r.now(), r.cfg.MaintenanceTime):
			r.setPhase(w, v, PhaseDone, "it is up again")
		case v.Phase != PhaseOrdered && m.State == platform.MachineMaintenance && w.ID != 0 && r.formerWaves[v.Name] == w.ID:
			v.Worker, v.confirmedAt = m.Worker, r.now()
			r.setPhase(w, v, PhaseOrdered, "a former holder has ordered it")
		}
	}
}

func (r *Runner) setPhase(w *wave, v *VM, p Phase, why string) {
	r.log.Info().Str("event", "maintenance").Int("wave", w.ID).Str("vm", v.Name).Str("from", string(v.Phase)).Str("to", string(p)).Str("why", why).Send()
	v.Phase = p
	if p == PhaseDone || p == PhaseGone {
		w.changed = true
	}
}

// waveOrders returns the orders for the VMs of a wave that are to be maintained.
func (r *Runner) waveOrders(w *wave, machines map[string]platform.Machine) (due []vmOrder) {
	for _, v := range w.vms {
		m := machines[v.Name]
		unanswered := v.Phase == PhaseOrdered && v.confirmedAt == 0 && m.State == platform.MachineUp && m.Worker == v.Worker
		if v.Phase == PhaseEmptying || unanswered { // an order without an answer may not have arrived
			due = append(due, vmOrder{vm: v.Name, pool: m.Pool, send: func(ctx context.Context) { r.sendMaintenance(ctx, w, v, m) }})
		}
	}
	return due
}

// sendMaintenance orders the maintenance of a VM.
func (r *Runner) sendMaintenance(ctx context.Context, w *wave, v *VM, m platform.Machine) {
	err := r.cfg.Machines.MaintainMachine(ctx, v.Name, w.ID, r.holder())
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case platform.IsRefused(err), platform.IsNotDone(err):
		r.log.Warn().Str("event", "maintenance_refused").Int("wave", w.ID).Str("vm", v.Name).Err(err).Send()
		return
	case err != nil:
		r.log.Warn().Str("event", "maintenance_unanswered").Int("wave", w.ID).Str("vm", v.Name).Err(err).Send()
	default:
		v.confirmedAt = r.now()
	}
	if v.Phase == PhaseEmptying {
		v.Worker = m.Worker
		r.setPhase(w, v, PhaseOrdered, "it is empty")
	}
}

// named returns the VMs that loads name, as list tells.
func named(loads map[string]shard.Load, list func(shard.Load) []string) map[string]bool {
	vms := map[string]bool{}
	for _, l := range loads {
		for _, vm := range list(l) {
			vms[vm] = true
		}
	}
	return vms
}

// view gathers what the next VMs of a wave are chosen by.
func (r *Runner) view(w *wave, machines map[string]platform.Machine) View {
	recent, former := map[string]bool{}, map[string]bool{}
	for vm := range r.former {
		recent[vm], former[vm] = !r.mayOrderFor(vm), true
	}
	light := named(r.lastLoads, func(l shard.Load) []string { return l.Light })
	tight := named(r.lastLoads, func(l shard.Load) []string { return l.Tight })
	return View{Machines: machines, Spare: r.spare(), Light: light, Tight: tight, Recent: recent, Former: former, Since: r.now() - w.begun}
}
