package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Timing of polls.
const (
	// pollWait is how long a worker usually delays its answer until an attempt ends, less than leases last.
	pollWait = time.Second
	// startingPollWait is the same at a worker with a task that others wait for to serve.
	startingPollWait = 200 * time.Millisecond
	// pollRetryDelay is the pause before polls of a worker that does not answer; only its first
	// failed poll is repeated at once.
	pollRetryDelay = 250 * time.Millisecond
	// orderPollDelay is the pause while an outcome is unknown and starts are in flight; a poll can
	// resolve it only after these are answered.
	orderPollDelay = 30 * time.Millisecond
	// minPollInterval is the least time between two polls of a worker while the owner is
	// saturated, less than leases last.
	minPollInterval = 600 * time.Millisecond
	// ackDelay is how long a poll is put off until ends are stored, so that it can acknowledge them.
	ackDelay = 500 * time.Millisecond
)

// pollPlan says when to poll a worker next.
type pollPlan struct {
	delay time.Duration // 0 for at once, negative for not before something changes
	// onWake makes a wake-up trigger the poll at once; otherwise a wake-up makes a new plan.
	onWake bool
}

// planPoll decides when to poll next; saturated reports that starts are limited because the owner
// is overloaded. The caller holds the lock.
func (s *session) planPoll(now time.Duration, saturated bool) pollPlan {
	switch {
	case !s.needsPoll(now):
		return pollPlan{delay: -1}
	case s.unansweredCalls > 0 && !s.retryNow:
		return pollPlan{delay: pollRetryDelay, onWake: true}
	case saturated && s.attemptsKnown && s.unansweredCalls == 0 && now < s.polledAt+minPollInterval:
		return pollPlan{delay: s.polledAt + minPollInterval - now}
	case s.ends.ackDue() && s.startsInFlight > 0 && s.attemptsKnown && s.unansweredCalls == 0 && !s.outcomeUnknown:
		// A poll can't acknowledge ends while starts are in flight. Sent now, it would delay the
		// acknowledgement further if it got no answer.
		return pollPlan{delay: orderTimeout}
	case s.outcomeUnknown && s.startsInFlight > 0:
		return pollPlan{delay: orderPollDelay, onWake: !s.ends.hasUnstored() || s.unansweredCalls > 0}
	case s.ends.hasUnstored():
		return pollPlan{delay: ackDelay, onWake: s.unansweredCalls > 0}
	default:
		return pollPlan{}
	}
}

// pollLoop polls a worker as long as there is a reason to.
func (o *Owner) pollLoop(ctx context.Context, s *session) {
	for ctx.Err() == nil {
		o.mu.Lock()
		plan := s.planPoll(o.now(), o.rate.Limiting())
		if o.releasing && !s.outcomeUnknown {
			// During a handover new ends stay at the worker for the next owner, so that storing
			// them does not delay it. Leases outlast the handover without renewal.
			plan = pollPlan{delay: -1}
		}
		o.mu.Unlock()
		if s.awaitPoll(ctx, plan) {
			o.poll(ctx, s)
		}
	}
}

// awaitPoll waits as planned; it reports whether to poll now.
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

// poll polls a worker, renews the leases there if the owner may, and applies the report.
func (o *Owner) poll(ctx context.Context, s *session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	raisesToken := s.outcomeUnknown && s.startsInFlight == 0
	if raisesToken {
		s.token++ // the worker then refuses unanswered orders that arrive later
	}
	sentAt := o.now()
	s.polledAt = sentAt
	order := o.buildRenewOrder(s, sentAt)
	report, err := o.sendPoll(ctx, s, order)
	if ctx.Err() != nil || errors.Is(err, errPollInterrupted) {
		return
	}
	if err != nil {
		o.cfg.Metrics.Poll(err)
		o.pollFailed(s, &order, err)
		return
	}
	if boot := s.respondingBoot(report.BootedAtMs); boot != s.ref.Boot {
		o.cfg.Metrics.Poll(platform.ErrOtherBoot{Boot: boot})
		o.handleRestart(s, platform.WorkerRef{Boot: boot, Address: s.ref.Address})
		return
	}
	o.cfg.Metrics.Poll(nil)
	o.settleMisread(s, sentAt)
	s.ends.markAcknowledged(order.AckedSeq)
	if !report.MoreEnds {
		s.listedAllAt = sentAt
	}
	o.pollAnswered(s, &report, sentAt)
	if raisesToken && order.Token == s.token {
		o.resolveUnknownStarts(s, sentAt)
	}
	if !s.attemptsKnown && order.LeaseUntil > 0 {
		s.attemptsKnown = true
		o.log.Debug().Str("event", "worker_known").Str("boot", s.ref.Boot).Int("running", len(s.attempts)).Send()
	}
	if s.former.pending {
		o.resolveFormerWorkers()
	}
	o.requestPlacement()
}

// errPollInterrupted reports a poll that was canceled so that another is sent at once.
var errPollInterrupted = errors.New("poll interrupted")

// sendPoll sends a poll and waits for the report; it releases the lock during the call.
func (o *Owner) sendPoll(ctx context.Context, s *session, order platform.RenewOrder) (report platform.WorkerReport, err error) {
	pollCtx, cancel := context.WithTimeout(ctx, order.Wait+o.timeouts.current().poll)
	defer cancel()
	if order.Wait > 0 {
		s.cancelPoll = cancel
	}
	o.mu.Unlock()
	report, err = o.cfg.Workers.RenewLeases(pollCtx, s.ref, order)
	interrupted := err != nil && errors.Is(pollCtx.Err(), context.Canceled)
	o.mu.Lock()
	s.cancelPoll = nil
	if interrupted {
		err = errPollInterrupted
	}
	return report, err
}

// buildRenewOrder builds the request of a poll; the caller holds the lock.
func (o *Owner) buildRenewOrder(s *session, now time.Duration) platform.RenewOrder {
	// After an unanswered start or poll, a later boot may receive the acknowledgement.
	bootCertain := s.unansweredCalls == 0 && !s.outcomeUnknown && s.startsInFlight == 0
	order := platform.RenewOrder{Token: s.token, AckedSeq: s.ends.ackNumber(bootCertain)}
	if s.unansweredCalls == 0 && o.ownershipConfirmed(now) {
		// Polls of an unreachable worker renew nothing: an unanswered renewal may still arrive, so
		// each would postpone the time from which its tasks may start elsewhere (leasesExpired).
		order.LeaseUntil = s.extendLease(now)
	}
	if s.mayAnswerLater(&order, now) {
		order.Wait = o.answerDelay(s)
	}
	return order
}

// mayAnswerLater reports whether nothing waits for the answer to a poll, so that the worker may delay it until
// an attempt ends.
func (s *session) mayAnswerLater(order *platform.RenewOrder, now time.Duration) bool {
	awaited := !s.attemptsKnown || s.awaited(now) || s.outcomeUnknown || s.unansweredCalls > 0 || len(s.heldStarts) > 0
	endsNoted := s.ends.complete == max(s.ends.acknowledged, order.AckedSeq)
	return !awaited && endsNoted && order.LeaseUntil > 0
}

// answerDelay returns for how long a worker may delay the answer to a poll.
func (o *Owner) answerDelay(s *session) time.Duration {
	switch {
	case o.startingLimitedTasks(s) > 0:
		return startingPollWait
	case s.hasSuspectedTask():
		return suspectPollWait
	default:
		return o.timeouts.current().wait
	}
}

// pollAnswered applies the report that answers a poll; the caller holds the lock.
func (o *Owner) pollAnswered(s *session, report *platform.WorkerReport, sentAt time.Duration) {
	if s.unansweredCalls > 0 {
		o.log.Info().Str("event", "worker_regained").Str("boot", s.ref.Boot).Int("failures", s.unansweredCalls).Send()
	}
	s.unansweredCalls, s.silentSince = 0, 0
	if s.lossCounted || !s.attemptsKnown {
		o.retractBootLosses(s, report)
	}
	s.noteClock(report.ClockMs, o.now())
	o.sendHeld(s)
	starting := o.startingLimitedTasks(s)
	o.applyReport(s, report, sentAt)
	if o.startingLimitedTasks(s) < starting {
		o.moveLimitedTasks(o.now()) // the next task of the step may move
	}
}

// pollFailed handles a poll without a report. The worker is unreachable from the first one, and its
// loss is counted against its tasks from lossCountedAfter unanswered calls. The caller holds the lock.
func (o *Owner) pollFailed(s *session, order *platform.RenewOrder, err error) {
	var other platform.ErrOtherBoot
	var refused platform.ErrOrderRefused
	switch {
	case errors.As(err, &other):
		o.bootEnded(s, "another boot answers at its address")
		return
	case errors.As(err, &refused) && refused.Reason == platform.RefusedStaleToken:
		o.superseded(s)
		return
	}
	if order.AckedSeq > 0 && !platform.IsNotDone(err) {
		s.outcomeUnknown = true // a poll with a higher token keeps a later boot from accepting this acknowledgement
	}
	s.noteUnanswered(o.now())
	o.withdrawHeld(s)
	s.retryNow = s.unansweredCalls == 1
	if s.unansweredCalls == 1 {
		o.log.Warn().Str("event", "worker_lost").Str("boot", s.ref.Boot).Int("attempts", len(s.attempts)).Err(err).Send()
	}
	if s.unansweredCalls >= o.timeouts.current().lossCountedAfter {
		o.countLosses(s)
	}
	o.expireLeases(s)
}
