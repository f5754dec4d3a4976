package shard

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/blame"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
)

const (
	// trialQuiet is how long all else at a worker has run when a trial starts there, so
	// that what is lost with it is the doing of the task on trial.
	// Nothing changes in TestStorm from 0.1 to 1.5 s (445 to 501 of 600 jobs in time, none
	// failed wrongly).
	trialQuiet = 500 * time.Millisecond
	// trialPart bounds the workers that are kept for trials to one part in so many.
	// Nothing changes in TestStorm from 2 to 6 (437 to 499 in time, none failed wrongly).
	trialPart = 3
	// trialPatience is how long a worker is kept for a trial that can't start.
	trialPatience = 5 * time.Second
)

// trial is what a worker is kept for: while it lasts, nothing else starts there. A gang may
// take several workers.
type trial struct {
	tasks    []*jobs.Task
	since    time.Duration
	attempts []*jobs.Attempt // of them at this worker, none until they are started
}

// tries tells whether an attempt is on trial at the worker.
func (s *session) tries(r *workerAttempt) bool {
	return s.trial != nil && slices.Contains(s.trial.attempts, r.Attempt)
}

// startTrials keeps workers for the candidates, which may be started on trial only, and
// starts those whose workers are ready.
func (o *Owner) startTrials(cs []placement.Candidate, now time.Duration) {
	for i := range cs {
		c := &cs[i]
		kept := o.keptFor(c.Tasks[0])
		if roomSoon(kept, c.Step) < len(c.Tasks) {
			if s := o.keepWorker(c, len(kept) == 0, now); s != nil {
				kept = append(kept, s)
			}
		}
		if len(kept) == 0 || !allQuiet(kept, now) {
			continue
		}
		var hosts []*placement.Host
		for _, s := range kept {
			hosts = append(hosts, s.host(now))
		}
		if starts := placement.Plan([]placement.Candidate{*c}, hosts, len(c.Tasks)); len(starts) == len(c.Tasks) {
			o.beginTrial(c, starts, kept, now)
		}
	}
}

// beginTrial starts what was planned, and gives free the workers that it does not need.
func (o *Owner) beginTrial(c *placement.Candidate, starts []placement.Start, kept []*session, now time.Duration) {
	var attempts []*jobs.Attempt
	if c.Step.Spec.Gang {
		boots := make([]string, 0, len(starts))
		for _, st := range starts {
			boots = append(boots, st.Host.Boot)
		}
		attempts = o.book.BeginGang(c.Step, boots, now)
	} else {
		attempts = []*jobs.Attempt{o.book.Begin(starts[0].Task, starts[0].Host.Boot, now)}
	}
	for _, a := range attempts {
		s := o.sessions[a.Boot]
		s.trial.attempts = append(s.trial.attempts, a)
		o.log.Info().Str("event", "trial_started").Str("task", a.Task.Name()).Int64("attempt", a.Number).Str("boot", a.Boot).
			Int("losses", len(a.Task.Losses)).Int("beside", len(s.attempts)).Dur("kept", now-s.trial.since).Send()
		o.orderStart(a)
	}
	for _, s := range kept {
		if len(s.trial.attempts) == 0 {
			s.trial = nil
		}
	}
}

// keptFor returns the workers that are kept for a trial, by its first task.
func (o *Owner) keptFor(t *jobs.Task) (kept []*session) {
	for _, s := range o.sessionsByBoot() {
		if s.trial != nil && s.trial.tasks[0] == t {
			kept = append(kept, s)
		}
	}
	return kept
}

// roomSoon is how many tasks of a step workers have room for once what comes to an end there
// has ended.
func roomSoon(ss []*session, step *jobs.StepRun) (n int) {
	for _, s := range ss {
		n += s.futureHost().Room(step)
	}
	return n
}

// keepWorker keeps the worker for a trial that has least to lose, nil if there is none. Only
// the first one of a trial counts against the part of the workers that may be kept.
func (o *Owner) keepWorker(c *placement.Candidate, first bool, now time.Duration) (chosen *session) {
	usable, kept := 0, 0
	for _, s := range o.sessionsByBoot() {
		if !s.usable(now) {
			continue
		}
		usable++
		if s.trial != nil {
			kept++
			continue
		}
		if s.futureHost().Room(c.Step) == 0 || c.Allowed != nil && !c.Allowed(s.ref.Boot) {
			continue
		}
		if chosen == nil || len(s.attempts) < len(chosen.attempts) {
			chosen = s
		}
	}
	if chosen == nil || first && kept >= max(1, usable/trialPart) {
		return nil
	}
	chosen.trial = &trial{tasks: c.Tasks, since: now}
	return chosen
}

// allQuiet tells whether a trial may start at workers that are kept for it.
func allQuiet(ss []*session, now time.Duration) bool {
	return !slices.ContainsFunc(ss, func(s *session) bool { return !s.quiet(now) })
}

// quiet tells whether what else is at a worker has run for a while.
func (s *session) quiet(now time.Duration) bool {
	if !s.usable(now) || len(s.trial.attempts) > 0 || s.startsInFlight > 0 || len(s.orders) > 0 {
		return false
	}
	for _, r := range s.attempts {
		if r.confirmedAt == 0 || now-r.confirmedAt < trialQuiet {
			return false
		}
	}
	return true
}

// endTrials gives workers free whose trial is over or can't start.
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
	step, verdict := s.trial.tasks[0].Step, s.trial.tasks[0].Verdict()
	if step.Spec.Gang {
		verdict = step.Verdict()
	}
	wanted := verdict == blame.OnTrial && !step.Job.State.Final()
	return started || !wanted || !s.usable(now) || now-s.trial.since > trialPatience
}
