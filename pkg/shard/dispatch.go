package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// maxOrdersPerWorker bounds the concurrent orders, and so the open connections, per worker. Orders are
// answered within milliseconds; to open more connections to each of hundreds of workers takes a large part of
// an owner's processor time.
const maxOrdersPerWorker = 2

// errOrderWithdrawn reports an order that was not sent because it was no longer wanted.
var errOrderWithdrawn = errors.New("order withdrawn before it was sent")

// queuedOrder is an order to a worker that is queued or in progress.
type queuedOrder struct {
	// send carries the order out; called without the lock.
	send func(ctx context.Context) (clockMs int64, err error)
	// onAnswer handles the answer, or errOrderWithdrawn; the caller holds the lock.
	onAnswer func(err error)
	// prepareStart is set for the start of an attempt. It returns send with the token and lease
	// current when the order is sent, or nil if the attempt is no longer wanted; the caller
	// holds the lock.
	prepareStart func(now time.Duration) (send func(ctx context.Context) (clockMs int64, err error))
	// prepareStop is the same for the stop of an attempt.
	prepareStop func(now time.Duration) (send func(ctx context.Context) (clockMs int64, err error))
}

// enqueueOrder queues an order and starts a sender if needed; the caller holds the lock.
func (o *Owner) enqueueOrder(s *session, d *queuedOrder) {
	s.orders = append(s.orders, d)
	if s.senders >= maxOrdersPerWorker {
		return
	}
	s.senders++
	o.wg.Go(func() { o.sendOrders(s) })
}

// sendOrders sends a worker's queued orders until none is left.
func (o *Owner) sendOrders(s *session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer func() { s.senders-- }()
	for len(s.orders) > 0 {
		d := s.orders[0]
		s.orders[0] = nil
		s.orders = s.orders[1:]
		now := o.now()
		switch {
		case d.prepareStart != nil && o.mayStart(s, now):
			d.send = d.prepareStart(now)
		case d.prepareStop != nil:
			d.send = d.prepareStop(now)
		}
		if d.send == nil {
			d.onAnswer(errOrderWithdrawn)
			continue
		}
		o.sendOrder(s, d)
	}
	s.orders = nil
}

// mayStart reports whether a start that was queued earlier may still be sent.
func (o *Owner) mayStart(s *session, now time.Duration) bool {
	return !o.closed && !o.releasing && !s.ended && !s.outcomeUnknown && s.unansweredCalls == 0 && !s.draining && !s.outOfUse() && o.ownershipConfirmed(now)
}

// sendOrder sends one order and handles its answer; it releases the lock during the call.
func (o *Owner) sendOrder(s *session, d *queuedOrder) {
	if d.prepareStart != nil {
		s.startsInFlight++
	}
	sentAt := o.now()
	wait := o.timeouts.current().order
	if d.prepareStart != nil {
		// A start must not outlast the confirmation of ownership.
		wait = min(wait, o.ownedAt+ConfirmationTTL-sentAt)
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
	o.observeClock(s, clockOf(clockMs, err), sentAt)
	d.onAnswer(err)
}

// clockOf returns the worker's clock from the answer to an order, platform.ClockUnknown for none.
func clockOf(ms int64, err error) int64 {
	var refused platform.ErrOrderRefused
	switch {
	case err == nil:
		return ms
	case errors.As(err, &refused):
		return refused.ClockMs
	default:
		return platform.ClockUnknown
	}
}

// noteAnswerTime feeds the answer time of an order to the start rate limit and the choice of timeouts.
// Orders that did not reach their worker say nothing of this owner's speed and are skipped unless they timed out:
// connections to a rack that is dark would hold the pool to the least rate.
func (o *Owner) noteAnswerTime(took time.Duration, err error) {
	switch {
	case !platform.IsNotDone(err):
		if !platform.IsUnknown(err) {
			o.timeouts.noteAnswer(took)
		}
		o.rate.Observe(took, !platform.IsUnknown(err))
	case took >= orderTimeout:
		o.rate.Observe(took, false)
	}
}
