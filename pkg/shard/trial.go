package shard

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/quarantine"
)

const (
	// trialSettleTime is how long all other attempts at a worker must have run before a trial starts
	// there, so that a loss can be attributed to the task in the trial.
	trialSettleTime = 500 * time.Millisecond
	// trialWorkerDivisor limits the workers reserved for trials to 1/trialWorkerDivisor of the pool.
	trialWorkerDivisor = 3
	// trialStartTimeout is how long a worker is reserved for a trial that can't start.
	trialStartTimeout = 5 * time.Second
)

// trial reserves a worker for one suspected task, or members of one gang, to find out whether it
// crashes the worker: nothing else starts there meanwhile. A gang may need several workers.
type trial struct {
	tasks    []*jobs.Task
	since    time.Duration
	attempts []*jobs.Attempt // at this worker, none until they are started
}

// inTrial reports whether an attempt is part of a trial at the worker.
func (s *session) inTrial(r *workerAttempt) bool {
	return s.trial != nil && slices.Contains(s.trial.attempts, r.Attempt)
}

// startTrials reserves workers for candidates that may only start in a trial, and starts those
// whose workers are ready.
func (o *Owner) startTrials(cs []placement.Candidate, now time.Duration) {
	for i := range cs {
		c := &cs[i]
		reserved := o.reservedFor(c.Tasks[0])
		if totalRoomSoon(reserved, c.Step) < len(c.Tasks) {
			if s := o.reserveWorker(c, len(reserved) == 0, now); s != nil {
				reserved = append(reserved, s)
			}
		}
		if len(reserved) == 0 || !allSettled(reserved, now) {
			continue
		}
		var hosts []*placement.Host
		for _, s := range reserved {
			hosts = append(hosts, s.host(now))
		}
		if starts := placement.Plan([]placement.Candidate{*c}, hosts, len(c.Tasks)); len(starts) == len(c.Tasks) {
			o.beginTrial(c, starts, reserved, now)
		}
	}
}

// beginTrial starts the planned attempts and frees reserved workers that are not needed.
func (o *Owner) beginTrial(c *placement.Candidate, starts []placement.Start, reserved []*session, now time.Duration) {
	var attempts []*jobs.Attempt
	if c.Step.Spec.Gang {
		boots := make([]string, 0, len(starts))
		for _, st := range starts {
			boots = append(boots, st.Host.Boot)
		}
		attempts = o.registry.StartGang(c.Step, boots, now)
	} else {
		attempts = []*jobs.Attempt{o.registry.StartAttempt(starts[0].Task, starts[0].Host.Boot, now)}
	}
	for _, a := range attempts {
		s := o.sessions[a.Boot]
		s.trial.attempts = append(s.trial.attempts, a)
		o.log.Info().Str("event", "trial_started").Str("task", a.Task.Name()).Int64("attempt", a.Number).Str("boot", a.Boot).
			Int("losses", len(a.Task.Losses)).Int("beside", len(s.attempts)).Dur("kept", now-s.trial.since).Send()
		o.dispatchStart(a)
	}
	for _, s := range reserved {
		if len(s.trial.attempts) == 0 {
			s.trial = nil
		}
	}
}

// reservedFor returns the workers reserved for a trial, which its first task identifies.
func (o *Owner) reservedFor(t *jobs.Task) (reserved []*session) {
	for _, s := range o.sessionsByBoot() {
		if s.trial != nil && s.trial.tasks[0] == t {
			reserved = append(reserved, s)
		}
	}
	return reserved
}

// totalRoomSoon returns how many tasks of a step the workers have room for once the attempts that
// are being stopped have ended.
func totalRoomSoon(ss []*session, step *jobs.StepRun) (n int) {
	for _, s := range ss {
		n += s.futureHost().Room(step)
	}
	return n
}

// reserveWorker reserves the worker with the fewest attempts for a trial, and returns nil if there is
// none. Only the first worker of a trial counts against the limit on reserved workers.
func (o *Owner) reserveWorker(c *placement.Candidate, first bool, now time.Duration) (chosen *session) {
	usable, reserved := 0, 0
	for _, s := range o.sessionsByBoot() {
		if !s.usable(now) {
			continue
		}
		usable++
		if s.trial != nil {
			reserved++
			continue
		}
		if s.futureHost().Room(c.Step) == 0 || c.Allowed != nil && !c.Allowed(s.ref.Boot) {
			continue
		}
		if chosen == nil || len(s.attempts) < len(chosen.attempts) {
			chosen = s
		}
	}
	if chosen == nil || first && reserved >= max(1, usable/trialWorkerDivisor) {
		return nil
	}
	chosen.trial = &trial{tasks: c.Tasks, since: now}
	return chosen
}

// allSettled reports whether a trial may start at the workers reserved for it.
func allSettled(ss []*session, now time.Duration) bool {
	return !slices.ContainsFunc(ss, func(s *session) bool { return !s.settled(now) })
}

// settled reports whether all other attempts at a reserved worker have run for long enough.
func (s *session) settled(now time.Duration) bool {
	if !s.usable(now) || len(s.trial.attempts) > 0 || s.startsInFlight > 0 || len(s.orders) > 0 {
		return false
	}
	for _, r := range s.attempts {
		if r.startConfirmedAt == 0 || now-r.startConfirmedAt < trialSettleTime {
			return false
		}
	}
	return true
}

// endTrials frees workers whose trial is over or can't start.
func (o *Owner) endTrials(now time.Duration) {
	for _, s := range o.sessions {
		if s.trial != nil && o.trialOver(s, now) {
			s.trial = nil
		}
	}
}

func (o *Owner) trialOver(s *session, now time.Duration) bool {
	if len(s.trial.attempts) > 0 {
		return !slices.ContainsFunc(s.trial.attempts, func(a *jobs.Attempt) bool {
			return o.findAttempt(a) != nil && len(a.Task.Losses) > 0
		})
	}
	started := slices.ContainsFunc(s.trial.tasks, func(t *jobs.Task) bool { return !t.Idle() })
	step, restriction := s.trial.tasks[0].Step, s.trial.tasks[0].Restriction()
	if step.Spec.Gang {
		restriction = step.Restriction()
	}
	wanted := restriction == quarantine.TrialOnly && !step.Job.State.Final()
	return started || !wanted || !s.usable(now) || now-s.trial.since > trialStartTimeout
}
