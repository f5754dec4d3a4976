package fleetops

import (
	"context"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// callTimeout bounds a call to the VM service or the table service, which
	// answer in milliseconds and up to 60 times slower in trouble.
	callTimeout = 1500 * time.Millisecond
	// gatherOrders is how long a VM that is empty waits for others, so that one
	// announcement does for all; a VM becomes empty within some milliseconds.
	gatherOrders = 15 * time.Millisecond
)

// mayOrder tells whether this entry is probably the owner and knows for which VMs
// it has to wait. That an order keeps its distance from other holders' does not
// rest on it: a stale owner must not have VMs emptied.
func (r *Runner) mayOrder(ctx context.Context) bool {
	if !r.learnFormer(ctx) || r.now() < r.first {
		return false
	}
	now := r.now()
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

// vmOrder is an order for a VM that is to be sent once the VM is empty.
type vmOrder struct {
	vm   string
	pool string // that the VM is in
	send func(ctx context.Context)
}

// orderAll has VMs emptied, and announces and sends the orders for those that
// are. Only VMs that are empty are announced: one that is still being emptied
// when the work changes hands may be ordered by the next holder at once.
func (r *Runner) orderAll(ctx context.Context, orders []vmOrder) {
	empty := make(chan vmOrder)
	var emptying, sending sync.WaitGroup
	for _, o := range orders {
		emptying.Go(func() {
			if o.pool == r.spare() || r.cfg.Drain(ctx, o.pool, o.vm) {
				empty <- o
			}
		})
	}
	go func() {
		emptying.Wait()
		close(empty)
	}()
	for batch := nextBatch(empty); len(batch) > 0; batch = nextBatch(empty) {
		r.announceAll(ctx, batch)
		for _, o := range batch {
			if !r.maySend(o.vm) {
				continue
			}
			r.noteOrder(o.vm)
			sending.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				o.send(callCtx)
			})
		}
	}
	sending.Wait()
}

// nextBatch takes the next order and those that come within a moment of it; it
// returns none when the channel is closed.
func nextBatch(orders <-chan vmOrder) (batch []vmOrder) {
	o, ok := <-orders
	if !ok {
		return nil
	}
	batch = append(batch, o)
	t := time.NewTimer(gatherOrders)
	defer t.Stop()
	for {
		select {
		case o, ok := <-orders:
			if !ok {
				return batch
			}
			batch = append(batch, o)
		case <-t.C:
			return batch
		}
	}
}

func (r *Runner) announceAll(ctx context.Context, orders []vmOrder) {
	var vms []string
	for _, o := range orders {
		if r.mayOrderFor(o.vm) {
			vms = append(vms, o.vm)
		}
	}
	r.announce(ctx, vms)
}

// maySend tells whether an order for a VM may be sent at this moment: it keeps its
// distance from former holders' orders, and is announced to the next holder.
func (r *Runner) maySend(vm string) bool {
	return r.mayOrderFor(vm) && r.clock.latest(r.now()) < r.announced[vm]
}

// mayOrderFor tells whether an order for a VM keeps its distance from former holders'.
func (r *Runner) mayOrderFor(vm string) bool {
	now := r.now()
	until, ok := r.former[vm]
	return now >= r.first && (!ok || !r.binds(until, now))
}

// noteOrder remembers that an order for a VM is about to be sent.
func (r *Runner) noteOrder(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOrder[vm] = r.now()
}

// lastOrderOf is when our last order for a VM was sent, 0 for never.
func (r *Runner) lastOrderOf(vm string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastOrder[vm]
}
