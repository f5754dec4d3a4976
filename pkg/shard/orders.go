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
	// pollTimeout is how long a look may go unanswered, waiting apart; workers answer in milliseconds.
	pollTimeout = 700 * time.Millisecond
	// orderTimeout is how long an order may go unanswered before a look settles
	// what became of it; until then the worker gets no other tasks.
	orderTimeout = 350 * time.Millisecond
	// unhealthyPause is the pause before new tasks for a worker that said it is not well.
	unhealthyPause = 800 * time.Millisecond
	// fullPause is the pause before new tasks for a worker that said it has no room.
	fullPause = 100 * time.Millisecond
	// stopRetryInterval is how long an ordered end may stay away before it is ordered again.
	stopRetryInterval = 1200 * time.Millisecond
)

// orderStart has the start of an attempt sent; the lock is held.
func (o *Owner) orderStart(a *jobs.Attempt) {
	s := o.sessions[a.Boot]
	name := a.Task.Name()
	r := &workerAttempt{Attempt: a}
	s.addAttempt(name, r)
	if o.noteAhead(s, r) {
		return // it is sent once that is kept
	}
	o.enqueueStart(s, name, r)
}

// enqueueStart has a start sent when its turn comes; the lock is held.
func (o *Owner) enqueueStart(s *session, name string, r *workerAttempt) {
	a := r.Attempt
	o.enqueueOrder(s, &queuedOrder{
		prepareStart: func(now time.Duration) func(ctx context.Context) (int64, error) {
			if o.unwanted(a) || a.Number <= a.Task.Step.BrokenRun {
				return nil
			}
			r.sentAt = now
			order := platform.StartOrder{
				Task: name, Attempt: a.Number, Spec: a.Task.Step.Job.Spec.Text, Checkpoint: a.Task.Checkpoint,
				Ticket: o.ticketOf(a.Task.Step, a.Boot), Token: s.token, LeaseUntil: s.extendLease(now),
			}
			o.log.Info().Str("event", "start_ordered").Str("task", name).Int64("attempt", a.Number).
				Str("boot", a.Boot).Int64("token", s.token).Int("at_worker", len(s.attempts)).Dur("queued", now-a.Since).Send()
			return func(ctx context.Context) (int64, error) { return o.cfg.Workers.StartAttempt(ctx, s.ref, order) }
		},
		onAnswer: func(err error) { o.startAnswered(s, name, r, err) },
	})
}

// startAnswered applies the answer to a start order; the lock is held.
func (o *Owner) startAnswered(s *session, name string, r *workerAttempt, err error) {
	now := o.now()
	current := s.attempts[name] == r
	if errors.Is(err, errStartWithdrawn) {
		o.startWithdrawn(s, name, r)
		return
	}
	if err == nil {
		if current {
			o.confirmAttempt(s, r, now)
		}
		s.requestPoll()
		return
	}
	if current {
		o.log.Warn().Str("event", "start_failed").Str("task", name).Int64("attempt", r.Number).Str("boot", s.ref.Boot).Err(err).Send()
	}
	var refused platform.ErrOrderRefused
	var other platform.ErrOtherBoot
	switch {
	case errors.As(err, &other):
		if current && r.confirmedAt == 0 {
			o.dropAttempt(s, name) // it has not started there
		}
		o.bootEnded(s, "another boot answers at its address")
	case errors.As(err, &refused):
		o.startRefused(s, name, r, refused, now)
	case platform.IsNotDone(err):
		s.noteUnanswered(now)
		s.retryNow = false // what did not reach the worker is not sent again at once
		if current && r.confirmedAt == 0 {
			o.dropAttempt(s, name)
		}
	default:
		s.health.noteUnanswered(now)
		s.markInDoubt()
		if current && r.confirmedAt == 0 {
			r.Phase = jobs.PhaseInDoubt
			r.connLost = now-r.sentAt < orderTimeout
		}
	}
	if r.Task.Step.Spec.Gang {
		o.breakGang(r.Task.Step, r.Number)
	}
	s.requestPoll()
}

// startWithdrawn forgets an attempt whose start was not sent; the lock is held.
func (o *Owner) startWithdrawn(s *session, name string, r *workerAttempt) {
	if s.attempts[name] == r && r.confirmedAt == 0 {
		o.log.Info().Str("event", "start_withdrawn").Str("task", name).Int64("attempt", r.Number).Str("boot", s.ref.Boot).Send()
		o.dropAttempt(s, name)
	}
	if r.Task.Step.Spec.Gang {
		o.breakGang(r.Task.Step, r.Number)
	}
}

func (o *Owner) startRefused(s *session, name string, r *workerAttempt, refused platform.ErrOrderRefused, now time.Duration) {
	switch refused.Reason {
	case platform.RefusedToken:
		if s.inDoubt || r.Attempt.Phase == jobs.PhaseInDoubt {
			break // our own look has raised the token meanwhile
		}
		o.superseded(s)
		return
	case platform.RefusedTicket:
		o.dropTicket(r.Task.Step, s.ref.Boot)
	case platform.RefusedRoom:
		s.pausedUntil = now + fullPause
	case platform.RefusedUnhealthy, platform.RefusedOther:
		s.health.noteUnanswered(now)
		s.pausedUntil = now + unhealthyPause
	}
	if s.attempts[name] == r && r.confirmedAt == 0 {
		o.dropAttempt(s, name)
	}
}

// confirmAttempt notes that the worker has the attempt, and stops one that should not run; the lock is held.
func (o *Owner) confirmAttempt(s *session, r *workerAttempt, now time.Duration) {
	if r.confirmedAt == 0 {
		r.confirmedAt = now
		o.absolve(r)
		if len(r.Task.Losses) > 0 {
			s.interruptPoll()
		}
	}
	if r.Phase != jobs.PhaseStopped {
		o.book.MarkBegun(r.Attempt)
	}
	if o.unwanted(r.Attempt) {
		o.stop(s, r, "no longer wanted")
	}
	if r.Number <= r.Task.Step.BrokenRun {
		o.stop(s, r, "another member of its gang did not start")
	}
}

// breakGang ends the other members of a run of a gang one of whose starts
// failed: they would only wait for it.
func (o *Owner) breakGang(step *jobs.StepRun, number int64) {
	step.BrokenRun = max(step.BrokenRun, number)
	for _, t := range step.Tasks {
		for _, a := range t.Attempts {
			if a.Number <= number {
				o.stopAttempt(a, "another member of its gang did not start")
			}
		}
	}
}

// unwanted tells whether an attempt should not run.
func (o *Owner) unwanted(a *jobs.Attempt) bool {
	return a.Phase != jobs.PhaseStopped && (a.Task.Done || a.Task.Step.Job.State.Final())
}

// jobEnded stops what still runs of a job that is final; the lock is held.
func (o *Owner) jobEnded(j *jobs.Job) {
	o.cfg.Metrics.Job(string(j.State))
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
	if r := o.findAttempt(a); r != nil {
		o.stop(o.sessions[a.Boot], r, why)
	}
}

// stop orders the end of an attempt; one whose start is on its way is stopped
// when the start's answer is known.
func (o *Owner) stop(s *session, r *workerAttempt, why string) {
	if r.confirmedAt == 0 || r.Phase == jobs.PhaseStopped {
		return
	}
	r.Phase = jobs.PhaseStopped
	o.log.Info().Str("event", "stop_ordered").Str("task", r.Task.Name()).Int64("attempt", r.Number).Str("boot", s.ref.Boot).Str("why", why).Send()
	o.orderStop(s, r)
}

// orderStop sends the order to end an attempt and notes when.
func (o *Owner) orderStop(s *session, r *workerAttempt) {
	r.stopOrderedAt = o.now()
	o.enqueueStop(s, r.Task.Name(), r.Number)
}

// enqueueStop sends the order to end an attempt, of which this owner need know nothing.
func (o *Owner) enqueueStop(s *session, task string, attempt int64) {
	order := platform.StopOrder{Task: task, Attempt: attempt, Token: s.token}
	o.enqueueOrder(s, &queuedOrder{
		send: func(ctx context.Context) (int64, error) { return o.cfg.Workers.StopAttempt(ctx, s.ref, order) },
		onAnswer: func(err error) {
			if err != nil {
				o.log.Warn().Str("event", "stop_failed").Str("task", task).Str("boot", s.ref.Boot).Err(err).Send()
			}
			s.requestPoll()
		},
	})
}

// retryStops orders ends again that have not come.
func (o *Owner) retryStops(s *session, now time.Duration) {
	overdue := func(r *workerAttempt) bool {
		return r.Phase == jobs.PhaseStopped && now-r.stopOrderedAt > stopRetryInterval
	}
	for _, name := range sortedKeysWhere(s.attempts, overdue) {
		o.orderStop(s, s.attempts[name])
	}
}
