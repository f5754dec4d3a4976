package fleetops

import (
	"slices"
	"time"
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
// the cause, of former holders and of this one, is for that wave. The state of a VM names none.
func (r *Runner) maintainedFor(vm string, wave int) bool {
	now := r.now()
	if r.noOrdersBefore > 0 && now < r.noOrdersBefore+r.shownFor() {
		return false // former holders may have sent any order
	}
	causes := r.causes(vm, now)
	return wave != 0 && len(causes) > 0 && !slices.ContainsFunc(causes, func(cause int) bool { return cause != wave })
}

// causes returns the waves of the orders that may have put a VM into maintenance, 0 for a move.
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
	return waves
}

// inDoubt returns the VMs with orders of this holder that got no answer and may be carried out yet, or
// have been without showing in the VM list.
func (r *Runner) inDoubt() (vms []string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, orders := range r.sent {
		for _, o := range orders {
			if o.answer == OrderUnanswered && now < o.endedAt+orderTransit+maxListLag {
				vms = append(vms, vm)
			}
		}
	}
	return vms
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
