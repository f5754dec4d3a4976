package shard

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Pauses in giving a worker new tasks.
const (
	pauseUnhealthy = 800 * time.Millisecond // it said that it is not well
	pauseFull      = 100 * time.Millisecond // it said that it has no room
	// repeatStop is how long an ordered end may stay away before it is ordered again.
	repeatStop = 1200 * time.Millisecond
	// lostFactor times its objective is when a job no longer counts as served.
	lostFactor = 3
)

// placeLoop starts tasks whenever something has changed.
func (o *Owner) placeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.placeWake:
			o.place()
		}
	}
}

// place starts the tasks that fit.
func (o *Owner) place() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over || o.releasing || o.catalog == nil {
		return
	}
	now := o.now()
	if !o.confirmed(now) {
		return
	}
	candidates := o.candidates(now)
	o.idleTasks = len(candidates) > 0
	if len(candidates) == 0 {
		return
	}
	placement.Sort(candidates, now)
	hosts := o.hosts(now)
	for i := range candidates {
		o.advised(&candidates[i], hosts, now)
	}
	starts := placement.Plan(candidates, hosts)
	gangs := map[*jobs.StepRun][]string{}
	for _, st := range starts {
		if step := st.Task.Step; step.Spec.Gang {
			gangs[step] = append(gangs[step], st.Host.Boot)
			continue
		}
		o.order(o.book.Begin(st.Task, st.Host.Boot, now))
	}
	for step, boots := range gangs {
		for _, a := range o.book.BeginGang(step, boots, now) {
			o.order(a)
		}
	}
}

// hosts returns the workers that may get tasks, in an order that does not depend on chance.
func (o *Owner) hosts(now time.Duration) (hosts []*placement.Host) {
	for _, s := range o.sessions {
		if s.usable(now) {
			hosts = append(hosts, s.host(now))
		}
	}
	slices.SortFunc(hosts, func(a, b *placement.Host) int { return cmp.Compare(a.Boot, b.Boot) })
	return hosts
}

// candidates returns the steps with tasks that may start.
func (o *Owner) candidates(now time.Duration) (cs []placement.Candidate) {
	wall := time.Duration(time.Now().UnixNano())
	for _, j := range o.book.Active() {
		left := time.Duration(-1)
		for _, s := range j.Steps {
			if !s.Open() || s.Finished() || s.Due() > wall {
				continue
			}
			idle := o.idle(s, now)
			if len(idle) == 0 {
				continue
			}
			if left < 0 {
				left = o.workLeft(j, now)
			}
			cs = append(cs, o.candidate(s, idle, left, now))
		}
	}
	return cs
}

// idle returns the tasks of a step that may start now.
func (o *Owner) idle(s *jobs.StepRun, now time.Duration) (tasks []*jobs.Task) {
	if o.held && s.Job.Restored {
		return nil
	}
	for _, t := range s.Tasks {
		if t.Idle() || t.WantsCopy && !t.Done && len(t.Attempts) == 1 {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

func (o *Owner) candidate(s *jobs.StepRun, idle []*jobs.Task, left, now time.Duration) placement.Candidate {
	j := s.Job
	c := placement.Candidate{Step: s, Tasks: idle, Left: left, Deadline: j.AddedAt + left}
	if q := o.catalog.Queue(j.Queue); q != nil {
		objective := q.TargetLatency + time.Duration(q.Stretch*float64(o.longestChain(j)))
		c.Priority = q.Priority
		due := j.AddedAt
		if at := s.Due(); at > 0 {
			due = now - (time.Duration(time.Now().UnixNano()) - at)
		}
		c.Deadline = due + objective
		c.Lost = due + lostFactor*objective
	}
	return c
}

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
			o.drop(s, name, now)
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
		o.drop(s, name, now)
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
