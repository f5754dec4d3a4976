package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// maxOrdersPerWorker bounds the orders that are under way to one worker at once;
// others wait their turn. Orders are answered within milliseconds, and each more
// at once is one more connection to every worker: an owner of 400 workers that
// starts 2,560 tasks a second spent an eighth of its processor time on opening them.
const maxOrdersPerWorker = 2

// errStartWithdrawn reports a start that was not sent, because the reasons for it have gone.
var errStartWithdrawn = errors.New("the start was withdrawn before it was sent")

// queuedOrder is an order that waits for its turn at a worker, or is under way.
type queuedOrder struct {
	// send carries the order out; it is called without the lock.
	send func(ctx context.Context) (clockMs int64, err error)
	// onAnswer takes the answer, or errWithdrawn; the lock is held.
	onAnswer func(err error)
	// prepareStart, for the prepareStart of an attempt, makes send when its turn has come, so that
	// token and lease are those of that moment; it returns nil if the attempt is no
	// longer wanted; the lock is held.
	prepareStart func(now time.Duration) (send func(ctx context.Context) (clockMs int64, err error))
}

// enqueueOrder has an order sent when its turn comes; the lock is held.
func (o *Owner) enqueueOrder(s *session, d *queuedOrder) {
	s.orders = append(s.orders, d)
	if s.senders >= maxOrdersPerWorker {
		return
	}
	s.senders++
	o.wg.Go(func() { o.sendOrders(s) })
}

// sendOrders carries out the orders for a worker until none is left.
func (o *Owner) sendOrders(s *session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer func() { s.senders-- }()
	for len(s.orders) > 0 {
		d := s.orders[0]
		s.orders[0] = nil
		s.orders = s.orders[1:]
		now := o.now()
		if d.prepareStart != nil && o.mayStart(s, now) {
			d.send = d.prepareStart(now)
		}
		if d.send == nil {
			d.onAnswer(errStartWithdrawn)
			continue
		}
		o.sendOrder(s, d)
	}
	s.orders = nil
}

// mayStart tells whether a start that was decided some time ago may still be sent.
func (o *Owner) mayStart(s *session, now time.Duration) bool {
	return !o.closed && !o.releasing && !s.ended && !s.inDoubt && s.unansweredCalls == 0 && !s.draining && !s.outOfUse() && o.confirmed(now)
}

// sendOrder sends one order and passes its answer on; it lets the lock go meanwhile.
func (o *Owner) sendOrder(s *session, d *queuedOrder) {
	if d.prepareStart != nil {
		s.startsInFlight++
	}
	sentAt := o.now()
	wait := orderTimeout
	if d.prepareStart != nil {
		// What is under way when the right to start it runs out is given up with it.
		wait = min(wait, o.confirmedAt+ConfirmedFor-sentAt)
	}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(o.ctx, wait)
	clockMs, err := d.send(ctx)
	cancel()
	o.mu.Lock()
	if d.prepareStart != nil {
		s.startsInFlight--
	}
	o.cfg.Metrics.Order(err)
	o.noteAnswerTime(o.now()-sentAt, err)
	o.takeClock(s, clockOf(clockMs, err), sentAt)
	d.onAnswer(err)
}

// clockOf is the worker's clock in the answer to an order, platform.NoClock for none.
func clockOf(ms int64, err error) int64 {
	var refused platform.ErrOrderRefused
	switch {
	case err == nil:
		return ms
	case errors.As(err, &refused):
		return refused.ClockMs
	default:
		return platform.NoClock
	}
}

// noteAnswerTime takes what an order tells of this owner's own speed. One that did not
// reach its worker is no answer: beside a rack that had gone dark a connection that was
// not opened within 350 ms counted as an answer that took as long, and held a pool of
// 201 VMs to 20 starts a second for two seconds.
func (o *Owner) noteAnswerTime(took time.Duration, err error) {
	switch {
	case !platform.IsNotDone(err):
		o.rate.Note(took, !platform.IsUnknown(err))
	case took >= orderTimeout:
		o.rate.Note(took, false)
	}
}
