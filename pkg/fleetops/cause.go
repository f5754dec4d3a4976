package fleetops

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// shownFor returns for how long after it was sent an order for maintenance may be the cause of what the
// VM list shows.
func (r *Runner) shownFor() time.Duration {
	return orderTransit + r.cfg.MaintenanceTime + maxListLag
}

// mayShow reports whether an announced order may be the cause of what the VM list shows now.
func (r *Runner) mayShow(until, now time.Duration) bool {
	return r.clock.earliest(now) < until+r.shownFor()
}

// maintainedFor reports whether a VM in maintenance must be there for a wave: every order that may be
// the cause, of former holders and of this one, is for that wave. The state of a VM names none; one that is
// moved shows another state.
func (r *Runner) maintainedFor(vm string, wave int) bool {
	now := r.now()
	if r.noOrdersBefore > 0 && now < r.noOrdersBefore+r.shownFor() {
		return false // former holders may have sent any order
	}
	causes := r.causes(vm, now)
	return wave != noWave && len(causes) > 0 && !slices.ContainsFunc(causes, func(cause int) bool { return cause != wave })
}

// causes returns the waves of the orders that may have put a VM into maintenance.
func (r *Runner) causes(vm string, now time.Duration) (waves []int) {
	for _, o := range r.formerOrders[vm] {
		if r.mayShow(o.Until, now) {
			waves = append(waves, o.Wave)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for wave, o := range r.sent[vm] {
		if o.answer != OrderRefused && now < o.endedAt+r.shownFor() {
			waves = append(waves, wave)
		}
	}
	if r.waves[noWave] != nil {
		return waves // an order for wave 0 is kept as a move
	}
	return slices.DeleteFunc(waves, func(wave int) bool { return wave == noWave })
}

// inDoubt returns the VMs with orders of this holder that got no answer and may be carried out yet, or
// have been without showing in the VM list.
func (r *Runner) inDoubt() (vms []string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, orders := range r.sent {
		for _, o := range orders {
			if o.answer == OrderUnanswered && o.mayAppear(now) {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}

// isInDoubt reports whether an order of this holder for a VM and wave may be carried out yet, or have been
// without showing in the VM list.
func (r *Runner) isInDoubt(vm string, wave int) bool {
	o, ok := r.lastOrder(vm, wave)
	return ok && o.answer != OrderRefused && o.mayAppear(r.now())
}

// downOutside returns how many VMs that a wave's request no longer names are down for the wave, or may be.
func (r *Runner) downOutside(w *wave, machines map[string]platform.Machine) (down int) {
	outside := map[string]bool{}
	for vm := range r.formerOrders {
		_, outside[vm] = r.formerOrders.find(vm, w.ID)
	}
	r.mu.Lock()
	for vm, orders := range r.sent {
		if o, ok := orders[w.ID]; ok && o.answer != OrderRefused {
			outside[vm] = true
		}
	}
	r.mu.Unlock()
	for _, vm := range w.VMs {
		delete(outside, vm)
	}
	for vm, ordered := range outside {
		recent := !r.mayOrderFor(vm) || r.isInDoubt(vm, w.ID)
		if ordered && (recent || machines[vm].State == platform.MachineMaintenance) {
			down++
		}
	}
	return down
}

// mayBeDone reports whether a VM may have had its maintenance for a wave without this holder's
// knowing: by an order of a former holder, after which it has another worker, or by one of this holder
// that got no answer.
func (r *Runner) mayBeDone(vm, worker string, wave int) bool {
	if o, ok := r.formerOrders.find(vm, wave); ok && (o.Boot == "" || o.Boot != worker || !r.mayOrderFor(vm)) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[vm][wave].answer == OrderUnanswered
}

// forgetSent drops what this holder has sent that no longer matters.
func (r *Runner) forgetSent() {
	open := map[int]bool{}
	for _, w := range r.openWaves() {
		open[w.ID] = true
	}
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.forget(func(_ string, wave int, o sentOrder) bool {
		return now < o.endedAt+max(r.shownFor(), orderTransit+r.cfg.OrderGap) || open[wave]
	})
}
