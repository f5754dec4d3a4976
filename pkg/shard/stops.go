package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// dispatchStop queues the stop of an attempt and records when.
func (o *Owner) dispatchStop(s *session, r *workerAttempt) {
	r.stopOrderedAt = o.now()
	o.enqueueOrder(s, &queuedOrder{
		prepareStop: func(now time.Duration) func(ctx context.Context) (int64, error) {
			if !o.stopHolds(s, r, now) {
				return nil
			}
			r.stopSent = true
			r.stopsInFlight++
			order := platform.StopOrder{Task: r.Task.Name(), Attempt: r.Number, Token: s.token}
			return func(ctx context.Context) (int64, error) { return o.cfg.Workers.StopAttempt(ctx, s.ref, order) }
		},
		onAnswer: func(err error) { o.stopAnswered(s, r, err) },
	})
}

// stopAnswered handles the answer to the stop of an attempt; the caller holds the lock.
func (o *Owner) stopAnswered(s *session, r *workerAttempt, err error) {
	if errors.Is(err, errOrderWithdrawn) {
		o.takeBackStop(s, r)
		return
	}
	r.stopsInFlight--
	switch {
	case err == nil:
		r.stopAccepted = true
	case r.stopLimited && platform.IsUnknown(err):
		s.markOutcomeUnknown() // a poll with a higher token ends what may still be under way
	}
	o.noteStopAnswer(s, r.Task.Name(), err)
}

// noteStopAnswer logs a failed stop and has the worker polled.
func (o *Owner) noteStopAnswer(s *session, task string, err error) {
	if err != nil {
		o.log.Warn().Str("event", "stop_failed").Str("task", task).Str("boot", s.ref.Boot).Err(err).Send()
	}
	s.requestPoll()
}

// enqueueForeignStop queues the stop of an attempt that is not of this owner.
func (o *Owner) enqueueForeignStop(s *session, task string, attempt int64) {
	order := platform.StopOrder{Task: task, Attempt: attempt, Token: s.token}
	o.enqueueOrder(s, &queuedOrder{
		send:     func(ctx context.Context) (int64, error) { return o.cfg.Workers.StopAttempt(ctx, s.ref, order) },
		onAnswer: func(err error) { o.noteStopAnswer(s, task, err) },
	})
}

// retryStops repeats stop orders whose attempts have not ended.
func (o *Owner) retryStops(s *session, now time.Duration) {
	overdue := func(r *workerAttempt) bool { return r.Phase == jobs.PhaseStopped && now-r.stopOrderedAt > stopTimeout }
	for _, name := range sortedKeysWhere(s.attempts, overdue) {
		o.dispatchStop(s, s.attempts[name])
	}
}

// stopHolds reports whether the stop of an attempt may be sent. One that the limit of its step on missing tasks
// decided is decided anew: it is still wanted, the limit still allows it, and there is room elsewhere. One that
// was accepted is carried out anyway.
func (o *Owner) stopHolds(s *session, r *workerAttempt, now time.Duration) bool {
	if !r.stopLimited || r.stopAccepted {
		return true
	}
	wanted := s.drained(now) || s.leaving(now, o.cfg.StoreUptime())
	room := &spareRoom{owner: o, now: now}
	return wanted && o.withinMaxUnavailable(r.Task.Step, r.Task, now) && room.reserve(r.Task.Step)
}

// takeBackStop has an attempt run on that was ordered to stop, unless the order may be carried out yet. Whoever
// wanted the stop decides anew.
func (o *Owner) takeBackStop(s *session, r *workerAttempt) {
	underWay := r.stopSent && (r.stopsInFlight > 0 || s.outcomeUnknown || s.unansweredCalls > 0)
	if underWay || r.Phase != jobs.PhaseStopped {
		return
	}
	r.Phase, r.stopOrderedAt, r.stopLimited, r.stopSent = jobs.PhaseRunning, 0, false, false
	o.restarts.forget(r.Task)
	o.log.Info().Str("event", "stop_taken_back").Str("task", r.Task.Name()).Int64("attempt", r.Number).Str("boot", s.ref.Boot).
		Bool("draining", s.drained(o.now())).Send()
}
