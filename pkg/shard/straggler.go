package shard

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

const (
	// minStragglerRuntime is how long a task runs before its speed is assessed.
	minStragglerRuntime = 500 * time.Millisecond
	// stallTimeout is how long a task's progress may stand still; workers report at least
	// once a second.
	stallTimeout = 1600 * time.Millisecond
	// siblingFactor is how many times longer than the others of its step a straggler takes.
	siblingFactor = 2.2
	// minSiblingPercent is the progress from which a running task's duration can be projected.
	minSiblingPercent = 8
	// minSiblings is how many others are needed for a comparison.
	minSiblings = 2
	// maxSiblings bounds the tasks that are compared, sampled evenly over the step. Among all of a step of
	// 3,000 tasks there are nine million comparisons in each check.
	maxSiblings = 64
	// estimateFactor is applied to an estimate that is used in place of the comparison.
	estimateFactor = 3
	// roundingPercent is the largest rounding error of reported progress.
	roundingPercent = 0.5
	// restartGainFactor is how many times longer than a new attempt the rest of an attempt must
	// take to be replaced, since estimates are rough.
	restartGainFactor = 1.5
	// restartCost is the overhead of a stop and another start.
	restartCost = time.Second
	// remoteDataFactor allows for work outside the rack of its data.
	remoteDataFactor = 3
	// maxThresholdDoublings bounds the doublings of the thresholds for a task that was replaced before: one
	// that crawls wherever it runs would be started again and again, and held against each worker in turn.
	maxThresholdDoublings = 6
	// stallWeight is the weight of a straggler in its worker's failures.
	stallWeight = 3
)

// checkStragglers replaces attempts that have stalled or are much slower than others, by the
// progress that workers report; the caller holds the lock.
func (o *Owner) checkStragglers(now time.Duration) {
	if !o.ownershipConfirmed(now) || o.formerWorkersPending {
		return
	}
	for _, s := range o.sessionsByBoot() {
		if s.unansweredCalls > 0 || s.draining {
			continue
		}
		slow := func(r *workerAttempt) bool {
			_, straggles := o.isStraggler(s, r)
			return straggles
		}
		for _, name := range sortedKeysWhere(s.attempts, slow) {
			r := s.attempts[name]
			if remaining, straggles := o.isStraggler(s, r); straggles { // replacing earlier ones may have changed it
				o.replaceStraggler(s, name, r, remaining, now)
			}
		}
	}
}

// isStraggler reports whether an attempt has stalled, or takes much longer than the other
// tasks of its step and than a restart would; remaining is its remaining time.
func (o *Owner) isStraggler(s *session, r *workerAttempt) (remaining time.Duration, straggles bool) {
	step := r.Task.Step
	if step.Spec.LongRunning || step.Spec.Gang || r.Phase != jobs.PhaseRunning || r.startConfirmedAt == 0 || r.replaced {
		return 0, false
	}
	ran := r.reportedAt - r.startConfirmedAt
	if ran < minStragglerRuntime {
		return 0, false
	}
	speed, speedKnown := o.coldSpeed.get()
	total := s.projectedWork(r, speed)
	remaining = max(0, total-workDone(ran, s.coldTime(r), speed))
	// A task that is slow at each worker has more work, so the thresholds double with each
	// replacement.
	thresholdFactor := time.Duration(1) << min(r.Task.Replaced, maxThresholdDoublings)
	coldLeft := s.cold.overlap(r.reportedAt, s.cold.until)
	if o.progressTime(s, r) > thresholdFactor*stallTimeout {
		return remaining, true
	}
	if coldLeft > 0 && !speedKnown {
		return remaining, false // it can't be compared with tasks elsewhere
	}
	remaining += coldDelay(remaining, coldLeft, speed)
	if float64(remaining) <= restartGainFactor*float64(restartCost) {
		return remaining, false // too short to restart, however fast the others are
	}
	typical := thresholdFactor * o.typicalDuration(s, r)
	return remaining, float64(total) > siblingFactor*float64(typical) && float64(remaining) > restartGainFactor*float64(typical+restartCost)
}

// progressTime returns how long an attempt has made no progress, not counting what a cold worker may
// explain.
func (o *Owner) progressTime(s *session, r *workerAttempt) time.Duration {
	speed, known := o.coldSpeed.get()
	if !known {
		speed = toleratedColdSpeed
	}
	return workDone(r.reportedAt-r.ProgressAt, s.cold.overlap(r.ProgressAt, r.reportedAt), speed)
}

// coldTime returns for how long an attempt has run while the worker was cold.
func (s *session) coldTime(r *workerAttempt) time.Duration {
	return s.cold.overlap(r.startConfirmedAt, r.reportedAt)
}

// projectedWork returns how long the attempt takes in total at its present speed, without what it lost
// while the worker was cold.
func (s *session) projectedWork(r *workerAttempt, speed float64) time.Duration {
	done := workDone(r.reportedAt-r.startConfirmedAt, s.coldTime(r), speed)
	return time.Duration(float64(done) * 100 / (float64(r.Percent) + roundingPercent))
}

// typicalDuration returns the median duration of the step's tasks at other workers, or a
// generous estimate if there are too few.
func (o *Owner) typicalDuration(s *session, r *workerAttempt) time.Duration {
	step := r.Task.Step
	speed, _ := o.coldSpeed.get()
	var totals []time.Duration
	for i := 0; i < len(step.Tasks); i += 1 + (len(step.Tasks)-1)/maxSiblings {
		t := step.Tasks[i]
		switch {
		case t == r.Task:
		case t.Duration > 0:
			totals = append(totals, t.Duration)
		case len(t.Attempts) > 0 && t.Attempts[0].Boot != s.ref.Boot:
			if other := o.findAttempt(t.Attempts[0]); other != nil && other.Percent >= minSiblingPercent {
				totals = append(totals, o.sessions[other.Boot].projectedWork(other, speed))
			}
		}
	}
	if len(totals) >= minSiblings {
		slices.Sort(totals)
		return totals[len(totals)/2]
	}
	typical := estimateFactor * max(step.Spec.Estimate, o.durations[step.Job.Queue].expected(step.Spec.Estimate))
	if step.Spec.DataRack != "" && step.Spec.DataRack != rackOf(s.info.Labels) {
		typical *= remoteDataFactor
	}
	return typical
}

// findAttempt returns the session's view of an attempt, nil if it is not at its worker.
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

// replaceStraggler requests a speculative copy where the step allows it, and stops the attempt
// otherwise, so that it restarts elsewhere.
func (o *Owner) replaceStraggler(s *session, name string, r *workerAttempt, remaining, now time.Duration) {
	r.replaced = true
	r.Task.Replaced++
	s.health.noteStalled(now)
	o.log.Info().Str("event", "straggler").Str("task", name).Int64("attempt", r.Number).Str("boot", s.ref.Boot).
		Int("percent", r.Percent).Dur("ran", r.reportedAt-r.startConfirmedAt).Dur("left", remaining).Send()
	if r.Task.Step.Spec.Speculative {
		r.Task.CopyRequested = true
		o.requestPlacement()
		return
	}
	o.stop(s, r, "straggler")
}
