package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Pace of looks.
const (
	// lookWait is how long a look waits for an end; it has to renew the leases in time.
	lookWait = time.Second
	// retryLook is the pause after a look that failed.
	retryLook = 250 * time.Millisecond
	// awaitOrders is the pause while orders are on their way that must be answered
	// before a look can settle the doubt about another.
	awaitOrders = 30 * time.Millisecond
	// rareLook is the least time between two looks at a worker while the owner is at
	// its own limit: they renew leases of 4 s in time, and leave to starts and
	// confirmations what a look at each end takes.
	rareLook = 600 * time.Millisecond
	// ackPause is how long ends wait for their acknowledgement before the next look renews the leases anyway.
	ackPause = 500 * time.Millisecond
)

// sessionLoop looks at a worker as long as there is something to see.
func (o *Owner) sessionLoop(ctx context.Context, s *session) {
	for ctx.Err() == nil {
		o.mu.Lock()
		wants := s.wantsLook()
		unacked := s.seenEnd > s.ackedEnd
		failures := s.failures
		askAgain := s.askAgain
		crowded := s.inDoubt && s.inFlight > 0
		early := o.tooEarly(s)
		o.mu.Unlock()
		var pause time.Duration
		switch {
		case !wants:
			pause = -1
		case early > 0:
			_ = s.rest(ctx, early, true)
			continue
		case failures > 0 && !askAgain:
			pause = retryLook
		case crowded:
			pause = awaitOrders
		case unacked:
			pause = ackPause
		}
		if pause != 0 && !s.rest(ctx, pause, unacked && failures == 0) {
			continue
		}
		if pause < 0 {
			continue
		}
		o.look(ctx, s)
	}
}

// tooEarly is how long the next look at a worker is to wait because this owner is
// at its limit; the lock is held.
func (o *Owner) tooEarly(s *session) time.Duration {
	if !o.rate.AtLimit() || !s.known || s.failures > 0 {
		return 0
	}
	return s.lookedAt + rareLook - o.now()
}

// rest waits for a kick, at most for d if that is positive; it reports whether
// a look is due rather than the reasons for one to be seen again.
func (s *session) rest(ctx context.Context, d time.Duration, untilAcked bool) bool {
	var timer <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-timer:
		return true
	case <-s.wake:
		return !untilAcked
	}
}

// look renews the leases at a worker and takes its report.
func (o *Owner) look(ctx context.Context, s *session) {
	o.mu.Lock()
	settles := s.inDoubt && s.inFlight == 0
	if settles {
		s.token++
	}
	sentAt := o.now()
	s.lookedAt = sentAt
	order := o.renewal(s, sentAt)
	lookCtx, cancel := context.WithTimeout(ctx, order.Wait+answerTimeout)
	defer cancel()
	if order.Wait > 0 {
		s.interrupt = cancel
	}
	o.mu.Unlock()
	report, err := o.cfg.Workers.RenewLeases(lookCtx, s.ref, order)
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.interrupt = nil
	if err != nil && errors.Is(lookCtx.Err(), context.Canceled) {
		return // a doubt has arisen, which another look settles
	}
	o.cfg.Metrics.Look(err)
	if err != nil {
		o.lookFailed(s, err)
		return
	}
	o.lookAnswered(s, &report, sentAt)
	if settles && order.Token == s.token {
		o.settled(s, sentAt)
	}
	if !s.known && order.LeaseUntil > 0 {
		s.known = true
		o.log.Debug().Str("event", "worker_known").Str("boot", s.ref.Boot).Int("running", len(s.attempts)).Send()
		o.checkHeld()
	}
	o.kickPlacement()
}

// renewal is the order to send with a look; the lock is held.
func (o *Owner) renewal(s *session, now time.Duration) platform.RenewOrder {
	order := platform.RenewOrder{Token: s.token, AckedEnd: s.ackedEnd}
	if s.failures == 0 && o.confirmed(now) {
		// A look without an answer may still arrive; were each of them to renew,
		// the leases of a worker that is gone would never run out.
		order.LeaseUntil = s.lease(now)
	}
	if s.known && !s.inDoubt && s.seenEnd == s.ackedEnd && s.failures == 0 && order.LeaseUntil > 0 {
		order.Wait = lookWait
	}
	return order
}

// lookAnswered takes the report that answers a look; the lock is held.
func (o *Owner) lookAnswered(s *session, report *platform.WorkerReport, sentAt time.Duration) {
	if s.failures > 0 {
		o.log.Info().Str("event", "worker_regained").Str("boot", s.ref.Boot).Int("failures", s.failures).Send()
	}
	s.failures = 0
	s.noteClock(report.ClockMs, o.now())
	o.takeReport(s, report, sentAt)
}

// lookFailed applies the lack of an answer to a look; the lock is held.
func (o *Owner) lookFailed(s *session, err error) {
	var other platform.ErrOtherBoot
	var refused platform.ErrOrderRefused
	switch {
	case errors.As(err, &other):
		o.bootEnded(s, "another boot answers at its address")
		return
	case errors.As(err, &refused) && refused.Reason == platform.RefusedToken:
		o.outranked(s)
		return
	}
	s.failures++
	s.askAgain = s.failures == 1
	if s.failures == 1 {
		o.log.Warn().Str("event", "worker_lost").Str("boot", s.ref.Boot).Int("attempts", len(s.attempts)).Err(err).Send()
	}
	o.expire(s)
}
