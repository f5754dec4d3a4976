package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Answers to orders, and what follows from them.
const (
	// answerTimeout is how long an order may go unanswered, waiting apart; workers answer in milliseconds.
	answerTimeout = 700 * time.Millisecond
	// pauseUnhealthy is the pause before new tasks for a worker that said it is not well.
	pauseUnhealthy = 800 * time.Millisecond
	// pauseFull is the pause before new tasks for a worker that said it has no room.
	pauseFull = 100 * time.Millisecond
	// repeatStop is how long an ordered end may stay away before it is ordered again.
	repeatStop = 1200 * time.Millisecond
)

// order sends the start of an attempt; the lock is held.
func (o *Owner) order(a *jobs.Attempt) {
	s := o.sessions[a.Boot]
	name := a.Task.Name()
	r := &running{Attempt: a}
	s.attempts[name] = r
	s.inFlight++
	order := platform.StartOrder{
		Task: name, Attempt: a.Number, Spec: a.Task.Step.Job.Spec.Text, Checkpoint: a.Task.Checkpoint,
		Ticket: o.ticketOf(a.Task.Step, a.Boot), Token: s.token, LeaseUntil: s.lease(a.Since),
	}
	o.log.Info().Str("event", "start_ordered").Str("task", name).Int64("attempt", a.Number).
		Str("boot", a.Boot).Int64("token", s.token).Int("at_worker", len(s.attempts)).Send()
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, answerTimeout)
		clock, err := o.workers.StartAttempt(ctx, s.ref, order)
		cancel()
		o.mu.Lock()
		defer o.mu.Unlock()
		o.metrics.Order(err)
		s.inFlight--
		o.started(s, name, r, clock, err)
	})
}

// started applies the answer to a start order; the lock is held.
func (o *Owner) started(s *session, name string, r *running, clock int64, err error) {
	now := o.now()
	current := s.attempts[name] == r
	if err == nil {
		s.noteClock(clock, now)
		if current {
			o.confirm(s, r, now)
		}
		s.kick()
		return
	}
	if current {
		o.log.Warn().Str("event", "start_failed").Str("task", name).Int64("attempt", r.Number).Str("boot", s.ref.Boot).Err(err).Send()
	}
	var refused platform.ErrOrderRefused
	var other platform.ErrOtherBoot
	var notDone platform.ErrNotDone
	switch {
	case errors.As(err, &other):
		o.bootEnded(s, "another boot answers at its address")
	case errors.As(err, &refused):
		o.startRefused(s, name, r, refused, now)
	case errors.As(err, &notDone):
		s.failures++
		if current && r.confirmedAt == 0 {
			o.drop(s, name)
		}
	default:
		s.health.unanswered(now)
		s.inDoubt = true
		if current && r.confirmedAt == 0 {
			r.Phase = jobs.PhaseInDoubt
		}
	}
	s.kick()
}

func (o *Owner) startRefused(s *session, name string, r *running, refused platform.ErrOrderRefused, now time.Duration) {
	s.noteClock(refused.ClockMs, now)
	switch refused.Reason {
	case platform.RefusedToken:
		if s.inDoubt || r.Attempt.Phase == jobs.PhaseInDoubt {
			break // our own look has raised the token meanwhile
		}
		o.outranked(s)
		return
	case platform.RefusedTicket:
		o.ticketRefused(r.Task.Step, s.ref.Boot)
	case platform.RefusedRoom:
		s.pause = now + pauseFull
	case platform.RefusedUnhealthy, platform.RefusedOther:
		s.health.unanswered(now)
		s.pause = now + pauseUnhealthy
	}
	if s.attempts[name] == r && r.confirmedAt == 0 {
		o.drop(s, name)
	}
}

// confirm notes that the worker has begun the attempt.
func (o *Owner) confirm(s *session, r *running, now time.Duration) {
	if r.confirmedAt == 0 {
		r.confirmedAt = now
	}
	if r.Phase != jobs.PhaseStopped {
		o.book.MarkBegun(r.Attempt)
	}
	if o.unwanted(r.Attempt) {
		o.stop(s, r, "no longer wanted")
	}
}

// unwanted tells whether an attempt should not run.
func (o *Owner) unwanted(a *jobs.Attempt) bool {
	return a.Phase != jobs.PhaseStopped && (a.Task.Done || a.Task.Step.Job.State.Final())
}

// jobEnded stops what still runs of a job that is final; the lock is held.
func (o *Owner) jobEnded(j *jobs.Job) {
	o.metrics.Job(string(j.State))
	o.log.Info().Str("event", "job_ended").Str("job", j.ID).Str("state", string(j.State)).Send()
	for _, step := range j.Steps {
		for _, t := range step.Tasks {
			for _, a := range t.Attempts {
				o.stopAttempt(a, "its job is "+string(j.State))
			}
		}
	}
	o.forgetAdvice(j)
	o.keep(j, true)
}

// stopAttempt ends an attempt wherever it is; the lock is held.
func (o *Owner) stopAttempt(a *jobs.Attempt, why string) {
	s := o.sessions[a.Boot]
	if s == nil {
		return
	}
	if r := s.attempts[a.Task.Name()]; r != nil && r.Attempt == a {
		o.stop(s, r, why)
	}
}

// stop orders the end of an attempt; one whose start is on its way is stopped
// when the start's answer is known.
func (o *Owner) stop(s *session, r *running, why string) {
	if r.confirmedAt == 0 || r.Phase == jobs.PhaseStopped {
		return
	}
	r.Phase = jobs.PhaseStopped
	o.log.Info().Str("event", "stop_ordered").Str("task", r.Task.Name()).Int64("attempt", r.Number).Str("boot", s.ref.Boot).Str("why", why).Send()
	o.sendStop(s, platform.StopOrder{Task: r.Task.Name(), Attempt: r.Number, Token: s.token}, r)
}

func (o *Owner) sendStop(s *session, order platform.StopOrder, r *running) {
	if r != nil {
		r.orderedEnd = o.now()
	}
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, answerTimeout)
		defer cancel()
		clock, err := o.workers.StopAttempt(ctx, s.ref, order)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.metrics.Order(err)
		s.noteClock(clock, o.now())
		if err != nil {
			o.log.Warn().Str("event", "stop_failed").Str("task", order.Task).Str("boot", s.ref.Boot).Err(err).Send()
		}
		s.kick()
	})
}

// repeatStops orders ends again that have not come.
func (o *Owner) repeatStops(s *session, now time.Duration) {
	for _, r := range s.attempts {
		if r.Phase == jobs.PhaseStopped && now-r.orderedEnd > repeatStop {
			o.sendStop(s, platform.StopOrder{Task: r.Task.Name(), Attempt: r.Number, Token: s.token}, r)
		}
	}
}
