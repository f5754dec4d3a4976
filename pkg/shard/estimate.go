package shard

import (
	"math"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

const (
	// minDurationWeight is the least weight of the newest duration in the running means.
	minDurationWeight = 0.1
	// minDurations is how many durations are needed before the mean replaces an estimate.
	minDurations = 8
	// wideStepTasks and wideFactor allow for the slowest of many similar tasks.
	wideStepTasks = 4
	wideFactor    = 1.2
)

// durationStats tracks how long the tasks of one queue take. Callers' estimates may be
// useless, so whichever of estimate and mean has the smaller error is used.
type durationStats struct {
	count         int
	mean          float64 // seconds
	meanError     float64 // mean absolute error of the mean, in seconds
	estimateError float64 // mean absolute error of the callers' estimates, in seconds
}

func (ds *durationStats) add(actual, hint time.Duration) {
	d, h := actual.Seconds(), hint.Seconds()
	ds.count++
	w := max(minDurationWeight, 1/float64(ds.count))
	if ds.count > 1 {
		ds.meanError += w * (math.Abs(d-ds.mean) - ds.meanError)
	}
	ds.estimateError += w * (math.Abs(d-h) - ds.estimateError)
	ds.mean += w * (d - ds.mean)
}

// expected returns how long a task with the estimate hint is expected to take.
func (ds *durationStats) expected(hint time.Duration) time.Duration {
	if ds == nil || ds.count < minDurations && hint > 0 || ds.count == 0 || hint > 0 && ds.estimateError <= ds.meanError {
		return hint
	}
	return time.Duration(ds.mean * float64(time.Second))
}

// recordDuration records the duration of a task that has completed at a worker. The means leave out
// tasks that ran on it while it was cold.
func (o *Owner) recordDuration(s *session, a *workerAttempt, now time.Duration) {
	step := a.Task.Step
	if step.Spec.LongRunning || a.startConfirmedAt == 0 || a.Checkpoint != "" {
		return
	}
	ds := o.durations[step.Job.Queue]
	ran := now - a.startConfirmedAt
	if cold := s.cold.overlap(a.startConfirmedAt, now); cold > 0 {
		o.observeCold(ds, step.Spec.Estimate, ran, cold)
		if speed, known := o.coldSpeed.get(); known {
			a.Task.Duration = workDone(ran, cold, speed)
		}
		return
	}
	if ds == nil {
		ds = &durationStats{}
		o.durations[step.Job.Queue] = ds
	}
	a.Task.Duration = ran
	ds.add(a.Task.Duration, step.Spec.Estimate)
}

// expectedStepTime returns how long a step is expected to take once all its tasks have started.
func (o *Owner) expectedStepTime(j *jobs.Job, st *jobs.Step) time.Duration {
	d := o.durations[j.Queue].expected(st.Estimate)
	if st.Count >= wideStepTasks {
		d = time.Duration(float64(d) * wideFactor)
	}
	return d
}

// criticalPath returns the expected duration of the longest chain of steps in one occurrence.
func (o *Owner) criticalPath(j *jobs.Job) (longest time.Duration) {
	ends := make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += o.expectedStepTime(j, st)
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingPath returns the expected duration of the longest chain of remaining work of a job.
func (o *Owner) remainingPath(j *jobs.Job, now time.Duration) (longest time.Duration) {
	ends := make([]time.Duration, len(j.Steps))
	width := len(j.Spec.Steps)
	for i, s := range j.Steps {
		for _, a := range s.Spec.After {
			ends[i] = max(ends[i], ends[i-i%width+a])
		}
		ends[i] += o.remainingStepTime(j, s, now)
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingStepTime returns the remaining time of a step: all of it while a task waits, else
// that of the task that ends last.
func (o *Owner) remainingStepTime(j *jobs.Job, s *jobs.StepRun, now time.Duration) time.Duration {
	if s.Finished() {
		return 0
	}
	whole := o.expectedStepTime(j, s.Spec)
	speed, known := o.coldSpeed.get()
	var last time.Duration
	for _, t := range s.Tasks {
		if t.Done {
			continue
		}
		if len(t.Attempts) == 0 {
			return whole
		}
		started := t.Attempts[0].OrderedAt
		if w := o.sessions[t.Attempts[0].Boot]; known && w != nil {
			started += coldDelay(whole, w.cold.overlap(started, w.cold.until), speed)
		}
		last = max(last, started)
	}
	return max(0, whole-(now-last))
}
