package shard

import (
	"cmp"
	"time"

	"github.com/gannetwell/gannetwell/pkg/blame"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
)

const (
	// trialQuiet is how long all else at a worker has run when a trial starts there, so
	// that what is lost with it is the doing of the task on trial.
	trialQuiet = 500 * time.Millisecond
	// trialPart bounds the workers that are kept for trials to one part in so many.
	trialPart = 3
	// trialPatience is how long a worker is kept for a trial that can't start.
	trialPatience = 5 * time.Second
)

// trial is what a worker is kept for: while it lasts, nothing else starts there.
type trial struct {
	task    *jobs.Task
	since   time.Duration
	attempt *jobs.Attempt // nil until it is started
}

// tries tells whether an attempt is the trial that its worker is kept for.
func (s *session) tries(r *running) bool { return s.trial != nil && s.trial.attempt == r.Attempt }

// startTrials keeps workers for the candidates, each one task that may be started on trial
// only, and starts those whose workers are ready.
func (o *Owner) startTrials(cs []placement.Candidate, now time.Duration) {
	for i := range cs {
		c := &cs[i]
		t := c.Tasks[0]
		s := o.keptFor(t)
		if s == nil {
			s = o.keepWorker(c, now)
		}
		// What speaks against the task has to outlast this owner before it strikes again.
		if s == nil || !s.quiet(now) || !t.Step.Job.EvidenceKept() {
			continue
		}
		if len(placement.Plan([]placement.Candidate{*c}, []*placement.Host{s.host(now)}, 1)) == 0 {
			continue
		}
		s.trial.attempt = o.book.Begin(t, s.ref.Boot, now)
		o.log.Info().Str("event", "trial_started").Str("task", t.Name()).Int64("attempt", s.trial.attempt.Number).
			Str("boot", s.ref.Boot).Int("losses", len(t.Losses)).Int("beside", len(s.attempts)).Dur("kept", now-s.trial.since).Send()
		o.order(s.trial.attempt)
	}
}

// keptFor returns the worker that is kept for a task, nil if there is none.
func (o *Owner) keptFor(t *jobs.Task) *session {
	for _, s := range o.sessions {
		if s.trial != nil && s.trial.task == t {
			return s
		}
	}
	return nil
}

// keepWorker keeps the worker for a trial that has least to lose, nil if there is none.
func (o *Owner) keepWorker(c *placement.Candidate, now time.Duration) (chosen *session) {
	usable, kept := 0, 0
	for _, s := range o.sessionsInOrder() {
		if !s.usable(now) {
			continue
		}
		usable++
		if s.trial != nil {
			kept++
			continue
		}
		if s.hostSoon().Room(c.Step) == 0 || c.Allowed != nil && !c.Allowed(s.ref.Boot) {
			continue
		}
		if chosen == nil || cmp.Compare(len(s.attempts), len(chosen.attempts)) < 0 {
			chosen = s
		}
	}
	if chosen == nil || kept >= max(1, usable/trialPart) {
		return nil
	}
	chosen.trial = &trial{task: c.Tasks[0], since: now}
	return chosen
}

// quiet tells whether a trial may start: what else is there has run for a while.
func (s *session) quiet(now time.Duration) bool {
	if !s.usable(now) || s.trial.attempt != nil || s.inFlight > 0 || len(s.orders) > 0 {
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
	t := s.trial.task
	if s.trial.attempt == nil {
		return !s.usable(now) || !t.Idle() || t.Verdict() != blame.OnTrial || t.Step.Job.State.Final() || now-s.trial.since > trialPatience
	}
	return o.running(s.trial.attempt) == nil || len(t.Losses) == 0
}
