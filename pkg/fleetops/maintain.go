package fleetops

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// wave is the execution state of a requested wave.
type wave struct {
	Wave
	vms       []*VM
	former    map[string]*VM // by name: VMs that the request no longer names, and what is known of them
	startedAt time.Duration  // when a holder first saw the request; an estimate if one of an earlier version did
	// clockOffset is that of the table service's clock from the entry's, when the progress was read.
	clockOffset time.Duration

	loaded        bool          // the progress of former holders was read
	changed       bool          // the progress differs from what is stored
	startReported bool          // the operator was told that the wave started
	loggedStatus  WaveStatus    // as last logged
	riskLoggedAt  time.Duration // when, 0 for never
	loggedWaits   map[WaitReason]int
	waitsLoggedAt time.Duration // when, 0 for never
	completed     bool          // all VMs are done or gone and the operator was told
	withdrawn     bool          // its request is gone, or can't be read
}

// acceptWaves takes up the requests as they are now: new ones, edited ones and those that are withdrawn.
func (r *Runner) acceptWaves() {
	requested := r.cfg.Waves()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, w := range r.waves {
		if !w.withdrawn && !slices.ContainsFunc(requested, func(q Wave) bool { return q.ID == id }) {
			r.log.Info().Str("event", "wave_withdrawn").Int("wave", id).Int("open", w.open()).Send()
			r.editWave(w, Wave{ID: id})
			w.withdrawn = true
		}
	}
	for _, q := range requested {
		switch w := r.waves[q.ID]; {
		case w == nil:
			r.waves[q.ID] = &wave{Wave: q, startedAt: r.now(), vms: r.newVMs(q, nil), former: map[string]*VM{}}
			r.log.Info().Str("event", "wave_requested").Int("wave", q.ID).Int("vms", len(q.VMs)).Int("max_down", q.MaxDown).Dur("within", q.Within).Send()
		case w.withdrawn, !w.asksSame(q):
			w.withdrawn = false
			r.editWave(w, q)
		case w.Request.Version != q.Request.Version:
			w.Request, w.changed = q.Request, true // a report that another version was expected for is repeated
		}
	}
}

// editWave has a wave follow its edited request. What is known of a VM stays known, also while the request
// does not name it. The time allowed goes on; it begins anew if the wave was completed and is not any more.
func (r *Runner) editWave(w *wave, q Wave) {
	known := maps.Clone(w.former)
	for _, v := range w.vms {
		known[v.Name] = v
	}
	w.Wave, w.changed = q, true
	w.vms = r.newVMs(q, known)
	for _, v := range w.vms {
		delete(known, v.Name)
	}
	maps.DeleteFunc(known, func(_ string, v *VM) bool { return v.Phase != PhaseOrdered && v.Phase != PhaseDone })
	w.former = known
	reopened := w.completed && w.open() > 0
	if reopened {
		w.completed, w.startReported, w.startedAt = false, false, r.now()
	}
	r.log.Info().Str("event", "wave_edited").Int("wave", q.ID).Int64("version", q.Request.Version).Int("vms", len(q.VMs)).Int("open", w.open()).
		Int("max_down", q.MaxDown).Dur("within", q.Within).Bool("reopened", reopened).Send()
}

// open returns how many VMs of the request are not done or gone.
func (w *wave) open() (n int) {
	for _, v := range w.vms {
		if !v.over() {
			n++
		}
	}
	return n
}

// isCurrent reports whether the request of a wave is as it was when this holder last took it up.
func (r *Runner) isCurrent(w *wave) bool {
	return slices.ContainsFunc(r.cfg.Waves(), func(q Wave) bool { return q.ID == w.ID && q.Request.Version == w.Request.Version })
}

// newVMs returns the VMs of a request, with what is known of them. A VM that is named again counts as gone
// there. One that was gone before an edit may be back.
func (r *Runner) newVMs(q Wave, known map[string]*VM) (vms []*VM) {
	seen := map[string]bool{}
	for _, name := range q.VMs {
		v := &VM{Name: name, Phase: PhaseWaiting}
		switch k := known[name]; {
		case seen[name]:
			r.log.Warn().Str("event", "wave_vm_repeated").Int("wave", q.ID).Str("vm", name).Send()
			v.Phase = PhaseGone
		case k != nil && k.Phase != PhaseGone:
			v = k
		}
		seen[name] = true
		vms = append(vms, v)
	}
	return vms
}

// openWaves returns the waves that are asked for and not known to be completed, the next deadline first.
func (r *Runner) openWaves() (open []*wave) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.waves {
		if !w.completed && !w.withdrawn {
			open = append(open, w)
		}
	}
	slices.SortFunc(open, func(a, b *wave) int {
		return cmp.Or(cmp.Compare(a.startedAt+a.Within, b.startedAt+b.Within), cmp.Compare(a.ID, b.ID))
	})
	return open
}

// loadedWaves returns the open waves whose progress was read.
func (r *Runner) loadedWaves(ctx context.Context) (loaded []*wave) {
	for _, w := range r.openWaves() {
		err := r.loadProgress(ctx, w)
		r.logWaveFailure(ctx, w, err)
		if err == nil && !w.completed {
			loaded = append(loaded, w)
		}
	}
	return loaded
}

// drainNext updates a wave's phases and starts draining its next VMs.
func (r *Runner) drainNext(w *wave, machines map[string]platform.Machine, mayOrder bool) {
	r.updatePhases(w, machines)
	if !mayOrder {
		return
	}
	next, waits := SelectVMs(w.Wave, w.vms, r.newView(w, machines))
	for _, v := range next {
		if r.moves[v.Name] == nil {
			r.setPhase(w, v, PhaseDraining, "the wave's limits allow it")
		}
	}
	r.logWaits(w, waits)
}

// logWaits logs what the VMs of a wave wait for, when that has changed.
func (r *Runner) logWaits(w *wave, waits map[WaitReason]int) {
	now := r.now()
	if maps.Equal(waits, w.loggedWaits) || w.waitsLoggedAt > 0 && now-w.waitsLoggedAt < waveLogInterval {
		return
	}
	w.loggedWaits, w.waitsLoggedAt = waits, now
	ev := r.log.Info().Str("event", "wave_vms_wait").Int("wave", w.ID).Dur("elapsed", now-w.startedAt).Dur("within", w.Within)
	for _, reason := range slices.Sorted(maps.Keys(waits)) {
		ev.Int(string(reason), waits[reason])
	}
	ev.Send()
}

// updatePhases updates the phases of a wave's VMs from the VM list.
func (r *Runner) updatePhases(w *wave, machines map[string]platform.Machine) {
	for _, v := range w.vms {
		m, ok := machines[v.Name]
		switch {
		case v.over():
		case !ok:
			r.setPhase(w, v, PhaseGone, "the VM is no longer listed")
		case v.Phase == PhaseOrdered && !v.accepted && m.State == platform.MachineMaintenance:
			if r.maintainedFor(v.Name, w.ID) {
				v.accept(r.now()) // the order was carried out though it was not answered
			}
		case v.Phase == PhaseOrdered && !v.accepted && m.State == platform.MachineUp && m.Worker != v.Worker:
			r.setPhase(w, v, PhaseWaiting, "the order was not answered, and the VM may have crashed")
		case v.Phase == PhaseOrdered && m.State == platform.MachineMaintenance:
			v.unseen = false
		case v.Phase == PhaseOrdered && v.returned(m, r.now(), r.cfg.MaintenanceTime):
			r.setPhase(w, v, PhaseDone, "the VM is up again")
		case v.Phase != PhaseOrdered && m.State == platform.MachineMaintenance && r.maintainedFor(v.Name, w.ID):
			v.Worker = m.Worker
			v.accept(r.now())
			r.setPhase(w, v, PhaseOrdered, "an earlier order is carried out")
		case v.Phase == PhaseDraining && m.State == platform.MachineMaintenance:
			r.setPhase(w, v, PhaseWaiting, "the VM is in maintenance, and it is not certain for which wave")
		}
	}
}

func (r *Runner) setPhase(w *wave, v *VM, p Phase, reason string) {
	r.log.Info().Str("event", "maintenance").Int("wave", w.ID).Str("vm", v.Name).Str("from", string(v.Phase)).Str("to", string(p)).Str("why", reason).Send()
	v.Phase = p
	if p == PhaseDone || p == PhaseGone {
		w.changed = true
	}
}

// waveOrders returns the maintenance orders to send for a wave. Its VMs have the given rank.
func (r *Runner) waveOrders(w *wave, machines map[string]platform.Machine, rank int) (due []vmOrder) {
	free := w.MaxDown - countDown(w.vms, r.newView(w, machines)) - r.downOutside(w, machines)
	for _, v := range w.vms {
		m := machines[v.Name]
		unanswered := v.Phase == PhaseOrdered && !v.accepted && m.State == platform.MachineUp && m.Worker == v.Worker
		if unanswered && free < 0 { // fewer may be down than before
			r.setPhase(w, v, PhaseWaiting, "the order was not answered, and too many VMs may be down")
			continue
		}
		if v.Phase == PhaseDraining || unanswered { // resend an unanswered order, which may be lost
			due = append(due, vmOrder{
				vm: v.Name, wave: w.ID, pool: m.Pool, boot: m.Worker, rank: rank,
				admit: func() bool {
					if !r.isCurrent(w) {
						return false // decided anew in the next step
					}
					if !unanswered {
						free--
					}
					return unanswered || free >= 0
				},
				send: func(ctx context.Context) { r.sendMaintenance(ctx, w, v, m) },
			})
		}
	}
	return due
}

// sendMaintenance orders the maintenance of a VM.
func (r *Runner) sendMaintenance(ctx context.Context, w *wave, v *VM, m platform.Machine) {
	err := r.cfg.Machines.MaintainMachine(ctx, v.Name, w.ID, r.holder())
	answer := r.endOrder(v.Name, w.ID, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch answer {
	case OrderRefused:
		r.log.Warn().Str("event", "maintenance_refused").Int("wave", w.ID).Str("vm", v.Name).Err(err).Send()
		return
	case OrderUnanswered:
		r.log.Warn().Str("event", "maintenance_unanswered").Int("wave", w.ID).Str("vm", v.Name).Err(err).Send()
	case OrderAccepted:
		v.accept(r.now())
		v.unseen = true
	}
	if v.Phase == PhaseDraining {
		v.Worker = m.Worker
		r.setPhase(w, v, PhaseOrdered, "the VM is drained")
	}
}

// vmSet returns the union of one of the VM lists of all loads.
func vmSet(loads map[string]shard.Load, list func(shard.Load) []string) map[string]bool {
	vms := map[string]bool{}
	for _, l := range loads {
		for _, vm := range list(l) {
			vms[vm] = true
		}
	}
	return vms
}

// newView returns the input of SelectVMs.
func (r *Runner) newView(w *wave, machines map[string]platform.Machine) View {
	view := View{
		Machines: machines, Spare: r.sparePool(), Elapsed: r.now() - w.startedAt,
		RecentlyOrdered: map[string]bool{}, MaybeDone: map[string]bool{}, InOtherWave: map[string]bool{},
	}
	for vm := range r.formerOrders {
		view.RecentlyOrdered[vm] = !r.mayOrderFor(vm)
	}
	for _, vm := range r.inDoubt() {
		view.RecentlyOrdered[vm] = true
	}
	for _, v := range w.vms {
		view.MaybeDone[v.Name] = r.mayBeDone(v.Name, machines[v.Name].Worker, w.ID)
	}
	for vm, wave := range r.activeWaves() {
		view.InOtherWave[vm] = wave != w.ID
	}
	view.Light = vmSet(r.lastLoads, func(l shard.Load) []string { return l.Light })
	view.SlowToDrain = vmSet(r.lastLoads, func(l shard.Load) []string { return l.Tight })
	for _, pool := range slices.Sorted(maps.Keys(r.limited)) {
		view.Limited = append(view.Limited, r.limited[pool]...)
		view.Draining = append(view.Draining, r.lastLoads[pool].Draining...)
	}
	return view
}

// noteLimitedSteps keeps the steps with limited tasks that the pools' owners last reported.
func (r *Runner) noteLimitedSteps() {
	for pool, l := range r.lastLoads {
		r.limited[pool] = l.Limited
	}
}

// maxWaveVMs bounds the VMs of waves named to the owner of a pool.
const maxWaveVMs = 1000

// noteWaveVMs determines the VMs that open waves will drain, by pool.
func (r *Runner) noteWaveVMs(waves []*wave, machines map[string]platform.Machine) {
	r.waveVMs = map[string][]string{}
	for _, w := range waves {
		for _, v := range w.vms {
			pool := machines[v.Name].Pool
			if (v.Phase == PhaseWaiting || v.Phase == PhaseDraining) && len(r.waveVMs[pool]) < maxWaveVMs {
				r.waveVMs[pool] = append(r.waveVMs[pool], v.Name)
			}
		}
	}
}
