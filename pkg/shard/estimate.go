package shard

import (
	"math"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

const (
	// learnWeight is what the newest duration counts in the running means.
	learnWeight = 0.1
	// learnAfter is how many durations are seen before the mean is used at all.
	learnAfter = 8
	// wideStep and wideFactor allow for the slowest of many like tasks.
	wideStep   = 4
	wideFactor = 1.2
)

// learned is what is known of how long the tasks of one queue take. Callers'
// estimates may be worthless; whichever of estimate and mean has been nearer is used.
type learned struct {
	seen    int
	mean    float64 // seconds
	offMean float64 // mean distance of durations from the mean
	offHint float64 // mean distance of durations from the callers' estimates
}

func (l *learned) note(actual, hint time.Duration) {
	d, h := actual.Seconds(), hint.Seconds()
	l.seen++
	w := max(learnWeight, 1/float64(l.seen))
	if l.seen > 1 {
		l.offMean += w * (math.Abs(d-l.mean) - l.offMean)
	}
	l.offHint += w * (math.Abs(d-h) - l.offHint)
	l.mean += w * (d - l.mean)
}

// expect returns how long a task with an estimate is expected to take.
func (l *learned) expect(hint time.Duration) time.Duration {
	if l == nil || l.seen < learnAfter && hint > 0 || l.seen == 0 || hint > 0 && l.offHint <= l.offMean {
		return hint
	}
	return time.Duration(l.mean * float64(time.Second))
}

// learn takes the duration of a task that was done.
func (o *Owner) learn(a *running, now time.Duration) {
	step := a.Task.Step
	if step.Spec.LongRunning || a.confirmedAt == 0 || a.Checkpoint != "" {
		return
	}
	l := o.durations[step.Job.Queue]
	if l == nil {
		l = &learned{}
		o.durations[step.Job.Queue] = l
	}
	a.Task.Duration = now - a.confirmedAt
	l.note(a.Task.Duration, step.Spec.Estimate)
}

// stepTime is how long a step is expected to take once all its tasks have started.
func (o *Owner) stepTime(j *jobs.Job, st *jobs.Step) time.Duration {
	d := o.durations[j.Queue].expect(st.Estimate)
	if st.Count >= wideStep {
		d = time.Duration(float64(d) * wideFactor)
	}
	return d
}

// longestChain is the expected longest chain of work of one occurrence.
func (o *Owner) longestChain(j *jobs.Job) (longest time.Duration) {
	ends := make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += o.stepTime(j, st)
		longest = max(longest, ends[i])
	}
	return longest
}

// workLeft is the expected longest chain of work that is left of a job.
func (o *Owner) workLeft(j *jobs.Job, now time.Duration) (longest time.Duration) {
	ends := make([]time.Duration, len(j.Steps))
	width := len(j.Spec.Steps)
	for i, s := range j.Steps {
		for _, a := range s.Spec.After {
			ends[i] = max(ends[i], ends[i-i%width+a])
		}
		ends[i] += o.stepLeft(j, s, now)
		longest = max(longest, ends[i])
	}
	return longest
}

// stepLeft is what is left of a step: all of it while a task waits, else what its last task needs.
func (o *Owner) stepLeft(j *jobs.Job, s *jobs.StepRun, now time.Duration) time.Duration {
	if s.Finished() {
		return 0
	}
	whole := o.stepTime(j, s.Spec)
	var last time.Duration
	for _, t := range s.Tasks {
		if t.Done {
			continue
		}
		if len(t.Attempts) == 0 {
			return whole
		}
		last = max(last, t.Attempts[0].OrderedAt)
	}
	return max(0, whole-(now-last))
}
