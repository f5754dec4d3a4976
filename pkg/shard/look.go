package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Pace of looks.
const (
	// pollWait is how long a look waits for an end; it has to renew the leases in time.
	pollWait = time.Second
	// pollRetryDelay is the pause after a look that failed.
	pollRetryDelay = 250 * time.Millisecond
	// orderPollDelay is the pause while orders are on their way that must be answered
	// before a look can settle the doubt about another.
	orderPollDelay = 30 * time.Millisecond
	// minPollInterval is the least time between two looks at a worker while the owner is at
	// its own limit: they renew leases of 4 s in time, and leave to starts and
	// confirmations what a look at each end takes.
	minPollInterval = 600 * time.Millisecond
	// ackDelay is how long ends wait for their acknowledgement before the next look renews the leases anyway.
	ackDelay = 500 * time.Millisecond
)

// pollPlan is when a worker is to be looked at next.
type pollPlan struct {
	delay time.Duration // 0 for at once, negative for not before something changes
	// onWake tells whether a change brings the look about at once; else the plan is made anew.
	onWake bool
}

// planPoll decides when to look next; the lock is held.
func (s *session) planPoll(now time.Duration, atLimit bool) pollPlan {
	switch {
	case !s.needsPoll(now):
		return pollPlan{delay: -1}
	case s.unansweredCalls > 0 && !s.retryNow:
		return pollPlan{delay: pollRetryDelay, onWake: true}
	case atLimit && s.synced && s.unansweredCalls == 0 && now < s.polledAt+minPollInterval:
		return pollPlan{delay: s.polledAt + minPollInterval - now}
	case s.ends.ackDue() && s.startsInFlight > 0 && s.synced && s.unansweredCalls == 0 && !s.inDoubt:
		// The look that acknowledges ends has to come when they are answered or given up; one
		// before it may be another that has no answer.
		return pollPlan{delay: orderTimeout}
	case s.inDoubt && s.startsInFlight > 0:
		return pollPlan{delay: orderPollDelay, onWake: !s.ends.hasUnstored() || s.unansweredCalls > 0}
	case s.ends.hasUnstored():
		return pollPlan{delay: ackDelay, onWake: s.unansweredCalls > 0}
	default:
		return pollPlan{}
	}
}

// pollLoop looks at a worker as long as there is something to see.
func (o *Owner) pollLoop(ctx context.Context, s *session) {
	for ctx.Err() == nil {
		o.mu.Lock()
		plan := s.planPoll(o.now(), o.rate.AtLimit())
		if o.releasing && !s.inDoubt {
			// What ends now stays at its worker for the next owner. Taken, it kept a handover
			// under 2,000 starts a second waiting for 144 to 604 ms (TestHandoverUnderLoad).
			plan = pollPlan{delay: -1}
		}
		o.mu.Unlock()
		if s.awaitPoll(ctx, plan) {
			o.poll(ctx, s)
		}
	}
}

// awaitPoll waits as a plan says; it reports whether the look is due.
func (s *session) awaitPoll(ctx context.Context, plan pollPlan) (due bool) {
	if plan.delay == 0 {
		return true
	}
	var timer <-chan time.Time
	if plan.delay > 0 {
		t := time.NewTimer(plan.delay)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-timer:
		return ctx.Err() == nil
	case <-s.wake:
		return ctx.Err() == nil && plan.onWake
	}
}

// poll renews the leases at a worker and takes its report.
func (o *Owner) poll(ctx context.Context, s *session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	settles := s.inDoubt && s.startsInFlight == 0
	if settles {
		s.token++
	}
	sentAt := o.now()
	s.polledAt = sentAt
	order := o.renewOrder(s, sentAt)
	report, err := o.sendPoll(ctx, s, order)
	if ctx.Err() != nil || errors.Is(err, errPollInterrupted) {
		return
	}
	if err != nil {
		o.cfg.Metrics.Poll(err)
		o.pollFailed(s, &order, err)
		return
	}
	if boot := s.answeredBy(report.Born); boot != s.ref.Boot {
		o.cfg.Metrics.Poll(platform.ErrOtherBoot{Boot: boot})
		o.restarted(s, platform.WorkerRef{Boot: boot, Address: s.ref.Address})
		return
	}
	o.cfg.Metrics.Poll(nil)
	s.ends.markAcknowledged(order.AckedEnd)
	s.answeredPollAt = sentAt
	o.pollAnswered(s, &report, sentAt)
	if settles && order.Token == s.token {
		o.resolveDoubt(s, sentAt)
	}
	if !s.synced && order.LeaseUntil > 0 {
		s.synced = true
		o.log.Debug().Str("event", "worker_known").Str("boot", s.ref.Boot).Int("running", len(s.attempts)).Send()
	}
	if s.former.open {
		o.checkHeld()
	}
	o.kickPlacement()
}

// errPollInterrupted reports a look that was ended because a doubt has arisen, which another look settles.
var errPollInterrupted = errors.New("the look was not waited for any longer")

// sendPoll sends a look and waits for its report; it lets the lock go meanwhile.
func (o *Owner) sendPoll(ctx context.Context, s *session, order platform.RenewOrder) (report platform.WorkerReport, err error) {
	lookCtx, cancel := context.WithTimeout(ctx, order.Wait+pollTimeout)
	defer cancel()
	if order.Wait > 0 {
		s.cancelPoll = cancel
	}
	o.mu.Unlock()
	report, err = o.cfg.Workers.RenewLeases(lookCtx, s.ref, order)
	interrupted := err != nil && errors.Is(lookCtx.Err(), context.Canceled)
	o.mu.Lock()
	s.cancelPoll = nil
	if interrupted {
		err = errPollInterrupted
	}
	return report, err
}

// renewOrder is the order to send with a look; the lock is held.
func (o *Owner) renewOrder(s *session, now time.Duration) platform.RenewOrder {
	// A start that has no answer yet, or a look without one, may have reached a later boot.
	safe := s.unansweredCalls == 0 && !s.inDoubt && s.startsInFlight == 0
	order := platform.RenewOrder{Token: s.token, AckedEnd: s.ends.ackNumber(safe)}
	if s.unansweredCalls == 0 && o.confirmed(now) {
		// A look without an answer may still arrive; were each of them to renew,
		// the leases of a worker that is gone would never run out.
		order.LeaseUntil = s.extendLease(now)
	}
	if s.synced && !s.awaited(now) && !s.inDoubt && s.ends.applied == max(s.ends.acknowledged, order.AckedEnd) && s.unansweredCalls == 0 && order.LeaseUntil > 0 {
		order.Wait = pollWait
		if s.watches() {
			order.Wait = watchLook
		}
	}
	return order
}

// pollAnswered takes the report that answers a look; the lock is held.
func (o *Owner) pollAnswered(s *session, report *platform.WorkerReport, sentAt time.Duration) {
	if s.unansweredCalls > 0 {
		o.log.Info().Str("event", "worker_regained").Str("boot", s.ref.Boot).Int("failures", s.unansweredCalls).Send()
	}
	s.unansweredCalls, s.silentSince = 0, 0
	if s.lossCounted || !s.synced {
		o.pardon(s, report)
	}
	s.noteClock(report.ClockMs, o.now())
	o.applyReport(s, report, sentAt)
}

// pollFailed applies the lack of an answer to a look; the lock is held.
func (o *Owner) pollFailed(s *session, order *platform.RenewOrder, err error) {
	var other platform.ErrOtherBoot
	var refused platform.ErrOrderRefused
	switch {
	case errors.As(err, &other):
		o.bootEnded(s, "another boot answers at its address")
		return
	case errors.As(err, &refused) && refused.Reason == platform.RefusedToken:
		o.superseded(s)
		return
	}
	if order.AckedEnd > 0 && !platform.IsNotDone(err) {
		s.inDoubt = true // a higher token keeps its acknowledgement from a later boot
	}
	s.noteUnanswered(o.now())
	s.retryNow = s.unansweredCalls == 1
	if s.unansweredCalls == 1 {
		o.log.Warn().Str("event", "worker_lost").Str("boot", s.ref.Boot).Int("attempts", len(s.attempts)).Err(err).Send()
	}
	if s.unansweredCalls >= blameAfter {
		o.blame(s)
	}
	o.expireLeases(s)
}
