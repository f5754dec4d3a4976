package fleetops

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// callTimeout limits a call to the VM service or the table service, which answer in milliseconds and up
	// to 60 times slower in trouble.
	callTimeout = 1500 * time.Millisecond
	// batchWindow is how long the order for a drained VM waits for others to share an announcement.
	batchWindow = 15 * time.Millisecond
)

// mayOrder reports whether this entry is probably still the holder and knows former holders'
// orders. It saves a stale holder needless drains; the gap between orders does not depend on it.
func (r *Runner) mayOrder(ctx context.Context) bool {
	if !r.loadFormerOrders(ctx) || r.now() < r.noOrdersBefore {
		return false
	}
	now := r.now()
	r.mu.Lock()
	confirmed := now-r.confirmedAt < shard.ConfirmationTTL/2
	r.mu.Unlock()
	if confirmed {
		return true
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, err := r.claim.IsCurrent(readCtx, r.cfg.Rows, Partition)
	if err != nil {
		return false
	}
	if !current {
		r.giveUp()
		return false
	}
	r.Confirm(now)
	return r.now()-now < shard.ConfirmationTTL
}

// holder returns this entry's identity and fencing token for the VM service.
func (r *Runner) holder() platform.Holder {
	return platform.Holder{Name: r.cfg.Self.Entry, Token: r.claim.Term}
}

// vmOrder is an order to send once its VM is drained.
type vmOrder struct {
	vm   string
	wave int    // noWave for a move
	pool string // current pool of the VM
	boot string // current worker of the VM
	rank int    // order in which VMs get free places of their tasks' steps, lowest first
	// admit reports whether the order may be sent now that the VM is drained; nil for always.
	admit func() bool
	send  func(ctx context.Context)
}

// sendOrders drains VMs, then announces and sends their orders. Only drained VMs are announced, so
// that the next holder can order the others without delay.
func (r *Runner) sendOrders(ctx context.Context, orders []vmOrder) {
	drained := make(chan vmOrder)
	var draining, sending sync.WaitGroup
	for _, o := range orders {
		draining.Go(func() {
			if o.pool == r.sparePool() || r.cfg.Drain(ctx, o.pool, o.vm, o.rank) {
				drained <- o
			}
		})
	}
	go func() {
		draining.Wait()
		close(drained)
	}()
	for batch, ok := nextBatch(drained); ok; batch, ok = nextBatch(drained) {
		batch = slices.DeleteFunc(batch, func(o vmOrder) bool { return o.admit != nil && !o.admit() })
		r.announceBatch(ctx, batch)
		for _, o := range batch {
			if !r.maySend(o) {
				continue
			}
			r.beginOrder(o)
			sending.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				o.send(callCtx)
			})
		}
	}
	sending.Wait()
}

// nextBatch returns the next order and those that follow within batchWindow; ok is false when the
// channel is closed.
func nextBatch(orders <-chan vmOrder) (batch []vmOrder, ok bool) {
	o, ok := <-orders
	if !ok {
		return nil, false
	}
	batch = append(batch, o)
	t := time.NewTimer(batchWindow)
	defer t.Stop()
	for {
		select {
		case o, ok := <-orders:
			if !ok {
				return batch, true
			}
			batch = append(batch, o)
		case <-t.C:
			return batch, true
		}
	}
}

func (r *Runner) announceBatch(ctx context.Context, orders []vmOrder) {
	r.announce(ctx, slices.DeleteFunc(slices.Clone(orders), func(o vmOrder) bool { return !r.mayOrderFor(o.vm) }))
}

// maySend reports whether an order may be sent now: it is far enough from former holders' orders
// and announced to the next holder.
func (r *Runner) maySend(o vmOrder) bool {
	announced, ok := r.announced.find(o.vm, o.wave)
	return ok && r.mayOrderFor(o.vm) && r.clock.latest(r.now()) < announced.Until
}

// mayOrderFor reports whether an order for a VM is far enough from former holders' orders.
func (r *Runner) mayOrderFor(vm string) bool {
	now := r.now()
	until, ok := r.formerOrders.until(vm)
	return now >= r.noOrdersBefore && (!ok || !r.withinOrderGap(until, now))
}

// beginOrder records that an order is about to be sent.
func (r *Runner) beginOrder(o vmOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.begin(o.vm, o.wave, r.now())
}

// endOrder records the outcome of an order for a VM and wave, and returns what it says.
func (r *Runner) endOrder(vm string, wave int, err error) (answer OrderAnswer) {
	switch {
	case err == nil:
		answer = OrderAccepted
	case platform.IsRefused(err), platform.IsNotDone(err):
		answer = OrderRefused
	default:
		answer = OrderUnanswered
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.end(vm, wave, r.now(), answer)
	return answer
}

// lastOrder returns the last order that this holder sent for a VM and wave.
func (r *Runner) lastOrder(vm string, wave int) (o sentOrder, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok = r.sent[vm][wave]
	return o, ok
}
