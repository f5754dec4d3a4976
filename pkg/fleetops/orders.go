package fleetops

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// callTimeout bounds a call to the VM service or the table service, which
// answer in milliseconds and up to 60 times slower in trouble.
const callTimeout = 1500 * time.Millisecond

// mayOrder tells whether this entry is certainly the owner and no order of a former one can come between.
func (r *Runner) mayOrder(ctx context.Context) bool {
	now := r.now()
	if now < r.first {
		return false
	}
	r.mu.Lock()
	confirmed := now-r.confirmedAt < shard.ConfirmedFor/2
	r.mu.Unlock()
	if confirmed {
		return true
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stands, err := r.claim.Stands(readCtx, r.cfg.Rows, Partition)
	if err != nil {
		return false
	}
	if !stands {
		r.giveUp()
		return false
	}
	r.Confirm(now)
	return r.now()-now < shard.ConfirmedFor
}

// holder names this entry to the VM service.
func (r *Runner) holder() platform.Holder {
	return platform.Holder{Name: r.cfg.Self.Entry, Token: r.claim.Term}
}

// prepareOrder has the owner of a pool's shard empty a VM, unless the VM is
// switched off, and tells whether an order for it may be sent now.
func (r *Runner) prepareOrder(ctx context.Context, pool, vm string) bool {
	if pool != r.spare() && !r.cfg.Empty(ctx, pool, vm) {
		return false
	}
	if _, ok := r.announced[vm]; !ok || !r.mayOrderFor(vm) || !r.mayOrder(ctx) {
		return false
	}
	r.noteOrder(vm)
	return true
}

// mayOrderFor tells whether an order for a VM keeps its distance from a former holder's.
func (r *Runner) mayOrderFor(vm string) bool { return r.now() >= r.notBefore[vm] }

// noteOrder remembers that an order for a VM is about to be sent.
func (r *Runner) noteOrder(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOrder[vm] = r.now()
}
