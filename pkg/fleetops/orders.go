package fleetops

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// callTimeout bounds a call to the VM service, which answers in milliseconds and up to 60 times slower in trouble.
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
	row, err := shard.ReadOwner(readCtx, r.cfg.Rows, Partition)
	if err != nil {
		return false
	}
	if row.Version != r.claim.OwnerVersion {
		r.giveUp()
		return false
	}
	r.Confirm(now)
	return r.now()-now < shard.ConfirmedFor
}

func (r *Runner) holder() platform.Holder {
	return platform.Holder{Name: r.cfg.Self.Entry, Token: r.claim.Term}
}

// mayOrderFor tells whether an order for a VM keeps its distance from a former holder's.
func (r *Runner) mayOrderFor(vm string) bool { return r.now() >= r.notBefore[vm] }

// noteOrder remembers that an order for a VM is about to be sent.
func (r *Runner) noteOrder(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOrder[vm] = r.now()
}
