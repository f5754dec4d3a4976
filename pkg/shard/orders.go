package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Timeouts and pauses of orders.
const (
	// pollTimeout is how long a poll may usually go unanswered, beyond the time it waits at the worker.
	pollTimeout = 700 * time.Millisecond
	// orderTimeout is how long an order may usually go unanswered; then a poll resolves its outcome.
	orderTimeout = 350 * time.Millisecond
	// unhealthyPause is how long a worker that reported itself unhealthy gets no new tasks.
	unhealthyPause = 800 * time.Millisecond
	// fullPause is how long a worker that reported no room gets no new tasks.
	fullPause = 100 * time.Millisecond
	// stopTimeout is how long to wait for the end of a stopped attempt before the stop is
	// ordered again.
	stopTimeout = 1200 * time.Millisecond
)

// dispatchStart registers an attempt and has its start sent; the caller holds the lock.
func (o *Owner) dispatchStart(a *jobs.Attempt) {
	s := o.sessions[a.Boot]
	name := a.Task.Name()
	r := &workerAttempt{Attempt: a}
	s.addAttempt(name, r)
	if o.recordProvisionalLoss(s, r) {
		return // sent once the provisional loss is stored
	}
	o.enqueueStart(s, name, r)
}

// enqueueStart queues the start of an attempt, or holds it until the worker's clock has been read; the caller
// holds the lock.
func (o *Owner) enqueueStart(s *session, name string, r *workerAttempt) {
	if !o.holdStart(s, name, r) {
		o.queueStart(s, name, r)
	}
}

// queueStart queues the start of an attempt; the caller holds the lock.
func (o *Owner) queueStart(s *session, name string, r *workerAttempt) {
	a := r.Attempt
	o.enqueueOrder(s, &queuedOrder{
		prepareStart: func(now time.Duration) func(ctx context.Context) (int64, error) {
			if o.unwanted(a) || a.Number <= a.Task.Step.BrokenRun {
				return nil
			}
			r.sentAt, r.timeout = now, o.timeouts.current().order
			order := platform.StartOrder{
				Task: name, Attempt: a.Number, Spec: a.Task.Step.Job.Spec.Text, Checkpoint: a.ResumeFrom,
				Ticket: o.ticketOf(a.Task.Step, a.Boot), Token: s.token, LeaseUntil: s.extendLease(now),
			}
			o.log.Info().Str("event", "start_ordered").Str("task", name).Int64("attempt", a.Number).
				Str("boot", a.Boot).Int64("token", s.token).Int64("lease_until", order.LeaseUntil).Int("at_worker", len(s.attempts)).Dur("queued", now-a.OrderedAt).Send()
			return func(ctx context.Context) (int64, error) { return o.cfg.Workers.StartAttempt(ctx, s.ref, order) }
		},
		onAnswer: func(err error) { o.startAnswered(s, name, r, err) },
	})
}

// startAnswered handles the answer to a start order; the caller holds the lock.
func (o *Owner) startAnswered(s *session, name string, r *workerAttempt, err error) {
	now := o.now()
	current := s.attempts[name] == r
	if errors.Is(err, errOrderWithdrawn) {
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
		if current && r.startConfirmedAt == 0 {
			o.dropAttempt(s, name) // it did not start there
		}
		o.bootEnded(s, "another boot answers at its address")
	case errors.As(err, &refused):
		o.startRefused(s, name, r, refused, now)
	case platform.IsNotDone(err):
		s.noteUnanswered(now)
		s.retryNow = false // the order did not reach the worker: don't repeat at once
		if current && r.startConfirmedAt == 0 {
			o.dropAttempt(s, name)
		}
	default:
		s.health.noteUnanswered(now)
		s.markOutcomeUnknown()
		if current && r.startConfirmedAt == 0 {
			r.Phase = jobs.PhaseInDoubt
			r.connLost = now-r.sentAt < r.timeout
		}
	}
	if r.Task.Step.Spec.Gang {
		o.breakGang(r.Task.Step, r.Number)
	}
	s.requestPoll()
}

// startWithdrawn drops an attempt whose start was not sent; the caller holds the lock.
func (o *Owner) startWithdrawn(s *session, name string, r *workerAttempt) {
	if s.attempts[name] == r && r.startConfirmedAt == 0 {
		o.log.Info().Str("event", "start_withdrawn").Str("task", name).Int64("attempt", r.Number).Str("boot", s.ref.Boot).Send()
		o.dropAttempt(s, name)
	}
	if r.Task.Step.Spec.Gang {
		o.breakGang(r.Task.Step, r.Number)
	}
}

func (o *Owner) startRefused(s *session, name string, r *workerAttempt, refused platform.ErrOrderRefused, now time.Duration) {
	switch refused.Reason {
	case platform.RefusedStaleToken:
		if s.outcomeUnknown || r.Attempt.Phase == jobs.PhaseInDoubt {
			break // our own poll has raised the token in the meantime
		}
		o.superseded(s)
		return
	case platform.RefusedInvalidTicket:
		o.dropTicket(r.Task.Step, s.ref.Boot)
	case platform.RefusedNoCapacity:
		s.pausedUntil = now + fullPause
	case platform.RefusedUnhealthy, platform.RefusedOther:
		s.health.noteUnanswered(now)
		s.pausedUntil = now + unhealthyPause
	}
	if s.attempts[name] == r && r.startConfirmedAt == 0 {
		o.dropAttempt(s, name)
	}
}

// confirmAttempt records that the worker has the attempt, and stops an unwanted one; the caller
// holds the lock.
func (o *Owner) confirmAttempt(s *session, r *workerAttempt, now time.Duration) {
	if r.startConfirmedAt == 0 {
		r.startConfirmedAt = now
		o.retractLoss(r)
		if len(r.Task.Losses) > 0 {
			s.interruptPoll()
		}
	}
	if r.Phase != jobs.PhaseStopped {
		o.registry.MarkStarted(r.Attempt)
	}
	if o.unwanted(r.Attempt) {
		o.stop(s, r, "no longer wanted")
	}
	if r.Number <= r.Task.Step.BrokenRun {
		o.stop(s, r, "another member of its gang did not start")
	}
}

// breakGang stops the other members of a gang's run after the start of one failed: they
// would wait for it forever.
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

// unwanted reports whether an attempt should not run.
func (o *Owner) unwanted(a *jobs.Attempt) bool {
	return a.Phase != jobs.PhaseStopped && (a.Task.Done || a.Task.Step.Job.State.Final())
}

// jobEnded stops the attempts of a final job and has its state stored; the caller holds the lock.
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
	o.persist(j, true)
}

// stopAttempt stops an attempt at whichever worker it is; the caller holds the lock.
func (o *Owner) stopAttempt(a *jobs.Attempt, why string) {
	if r := o.findAttempt(a); r != nil {
		o.stop(o.sessions[a.Boot], r, why)
	}
}

// stop orders an attempt to stop. An attempt without a confirmed start is stopped once its
// start is confirmed. It reports whether the stop was ordered now.
func (o *Owner) stop(s *session, r *workerAttempt, why string) (ordered bool) {
	if r.startConfirmedAt == 0 || r.Phase == jobs.PhaseStopped {
		r.stopLimited = false // there is a reason now that holds whatever else of its step is missing
		return false
	}
	r.Phase = jobs.PhaseStopped
	o.log.Info().Str("event", "stop_ordered").Str("task", r.Task.Name()).Int64("attempt", r.Number).Str("boot", s.ref.Boot).Str("why", why).Send()
	o.dispatchStop(s, r)
	return true
}
