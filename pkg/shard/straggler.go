package shard

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

const (
	// minStragglerRuntime is how long a task runs before it is judged at all.
	minStragglerRuntime = 500 * time.Millisecond
	// stallTimeout is how long the progress of a task may stand still; reports come
	// each second at least.
	stallTimeout = 1600 * time.Millisecond
	// siblingFactor is how many times longer than the others of its step a task
	// must take; those differ by a third or so among themselves.
	siblingFactor = 2.2
	// minSiblingPercent is the progress from which a running task tells how long it takes.
	minSiblingPercent = 8
	// minSiblings is how many others are needed for a comparison.
	minSiblings = 2
	// maxSiblings bounds those that are looked at, spread over the step: among all of them a
	// step of 3,000 tasks took nine million comparisons each 150 ms.
	maxSiblings = 64
	// estimateFactor widens an estimate that stands in for a comparison.
	estimateFactor = 3
	// roundingPercent is what the rounding of a reported progress may hide.
	roundingPercent = 0.5
	// restartGainFactor is how many times longer the rest must take than a new
	// attempt elsewhere, so that a restart pays though estimates are rough.
	restartGainFactor = 1.5
	// restartCost is about what a stop and another start take beside the work.
	restartCost = time.Second
	// remoteDataFactor allows for work away from the rack of its data.
	remoteDataFactor = 3
	// maxPatienceDoublings bounds the doublings of patience with a task that crawled before.
	maxPatienceDoublings = 6
	// stallWeight is what a straggler counts against its worker, in failed attempts.
	stallWeight = 3
)

// checkStragglers starts tasks elsewhere that stand still or crawl where they
// are, by what their workers report of their progress; the lock is held.
func (o *Owner) checkStragglers(now time.Duration) {
	if !o.confirmed(now) || o.formerPending {
		return
	}
	for _, s := range o.sessionsByBoot() {
		if s.unansweredCalls > 0 || s.draining {
			continue
		}
		crawling := func(r *workerAttempt) bool {
			_, crawls := o.isStraggler(s, r)
			return crawls
		}
		for _, name := range sortedKeysWhere(s.attempts, crawling) {
			r := s.attempts[name]
			if left, crawls := o.isStraggler(s, r); crawls { // still, after those before it
				o.replaceStraggler(s, name, r, left, now)
			}
		}
	}
}

// isStraggler tells whether an attempt stands still, or takes much longer than the
// other tasks of its step and than a restart would.
func (o *Owner) isStraggler(s *session, r *workerAttempt) (left time.Duration, crawls bool) {
	step := r.Task.Step
	if step.Spec.LongRunning || step.Spec.Gang || r.Phase != jobs.PhaseRunning || r.confirmedAt == 0 || r.replaced {
		return 0, false
	}
	ran := r.reportedAt - r.confirmedAt
	if ran < minStragglerRuntime {
		return 0, false
	}
	total := r.projectedDuration()
	left = max(0, total-ran)
	// A task that crawls wherever it runs does so by itself. With the same patience each
	// time one that stood still was started 29 times in a minute, and held against each
	// worker in turn; so it is 6 times.
	patience := time.Duration(1) << min(r.Task.Replaced, maxPatienceDoublings)
	if r.reportedAt-r.ProgressAt > patience*stallTimeout {
		return left, true
	}
	if float64(left) <= restartGainFactor*float64(restartCost) {
		return left, false // however fast the others are
	}
	usual := patience * o.typicalDuration(s, r)
	return left, float64(total) > siblingFactor*float64(usual) && float64(left) > restartGainFactor*float64(usual+restartCost)
}

// projectedDuration is how long the attempt will have taken at its present speed.
func (r *workerAttempt) projectedDuration() time.Duration {
	return time.Duration(float64(r.reportedAt-r.confirmedAt) * 100 / (float64(r.Percent) + roundingPercent))
}

// typicalDuration is the median of what the step's other tasks take at other workers;
// with too few of them, a generous estimate.
func (o *Owner) typicalDuration(s *session, r *workerAttempt) time.Duration {
	step := r.Task.Step
	var totals []time.Duration
	for i := 0; i < len(step.Tasks); i += 1 + (len(step.Tasks)-1)/maxSiblings {
		t := step.Tasks[i]
		switch {
		case t == r.Task:
		case t.Took > 0:
			totals = append(totals, t.Took)
		case len(t.Attempts) > 0 && t.Attempts[0].Boot != s.ref.Boot:
			if other := o.findAttempt(t.Attempts[0]); other != nil && other.Percent >= minSiblingPercent {
				totals = append(totals, other.projectedDuration())
			}
		}
	}
	if len(totals) >= minSiblings {
		slices.Sort(totals)
		return totals[len(totals)/2]
	}
	usual := estimateFactor * max(step.Spec.Estimate, o.durations[step.Job.Queue].expected(step.Spec.Estimate))
	if step.Spec.DataRack != "" && step.Spec.DataRack != rackOf(s.info.Labels) {
		usual *= remoteDataFactor
	}
	return usual
}

// findAttempt returns the session's view of an attempt, nil if it is not at its worker any more.
func (o *Owner) findAttempt(a *jobs.Attempt) *workerAttempt {
	s := o.sessions[a.Boot]
	if s == nil {
		return nil
	}
	if r := s.attempts[a.Task.Name()]; r != nil && r.Attempt == a {
		return r
	}
	return nil
}

// replaceStraggler starts a copy where the step allows it and stops the attempt otherwise.
func (o *Owner) replaceStraggler(s *session, name string, r *workerAttempt, left, now time.Duration) {
	r.replaced = true
	r.Task.Replaced++
	s.health.noteStalled(now)
	o.log.Info().Str("event", "straggler").Str("task", name).Int64("attempt", r.Number).Str("boot", s.ref.Boot).
		Int("percent", r.Percent).Dur("ran", r.reportedAt-r.confirmedAt).Dur("left", left).Send()
	if r.Task.Step.Spec.Speculative {
		r.Task.WantsCopy = true
		o.kickPlacement()
		return
	}
	o.stop(s, r, "it crawls here")
}
