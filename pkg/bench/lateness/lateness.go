package lateness

import (
	"cmp"
	"io"
	"slices"
	"strings"
	"time"
)

// Cause is what took most of a late job's time beside its work.
type Cause string

// The causes.
const (
	InTime       Cause = "in time"
	NotAccepted  Cause = "not accepted" // every submission was refused
	NotEnded     Cause = "not ended"
	Accepting    Cause = "accepting"     // from the first submission to the one that was taken
	FirstStart   Cause = "first start"   // from then to the first start of a task
	Spread       Cause = "spread"        // from the first start of a step's tasks to the last
	BetweenSteps Cause = "between steps" // from the end of a step to the first start of the next
	Rerun        Cause = "rerun"         // a task had to start again
	Other        Cause = "other"
)

// Causes are all causes, in the order in which tables show them.
var Causes = []Cause{InTime, Accepting, FirstStart, Spread, BetweenSteps, Rerun, Other, NotEnded, NotAccepted}

// Objective is when a job is in time: within Target and Stretch times its work, one
// step after the other, from its first submission on.
type Objective struct {
	Target  time.Duration
	Stretch float64
}

// Window counts the jobs that were first submitted in a span of time by cause.
type Window struct {
	From   time.Duration
	Counts map[Cause]int
}

// CountByWindow reads a log and counts the jobs in windows of a length; cancelled jobs are left out.
func CountByWindow(log io.Reader, o Objective, length time.Duration) (windows []Window, err error) {
	lines, err := readLines(log)
	if err != nil {
		return nil, err
	}
	byStart := map[time.Duration]*Window{}
	for _, j := range jobsByID(lines) {
		if j.state == "cancelled" {
			continue
		}
		from := j.submittedAt.Truncate(length)
		if j.submittedAt < 0 {
			from -= length
		}
		w := byStart[from]
		if w == nil {
			w = &Window{From: from, Counts: map[Cause]int{}}
			byStart[from] = w
		}
		w.Counts[j.cause(o)]++
	}
	for _, w := range byStart {
		windows = append(windows, *w)
	}
	slices.SortFunc(windows, func(a, b Window) int { return cmp.Compare(a.From, b.From) })
	return windows, nil
}

// attempt is one start of a task.
type attempt struct {
	step      string
	start     time.Duration
	end       time.Duration
	succeeded bool
}

// job is what the log tells of a job.
type job struct {
	submittedAt time.Duration
	acceptedAt  time.Duration
	wasAccepted bool
	endedAt     time.Duration
	state       string
	startCounts map[string]int // by task
	attempts    map[attemptKey]*attempt
}

type attemptKey struct {
	task   string
	number int64
}

// jobsByID puts the lines of each job together.
func jobsByID(lines []logLine) map[string]*job {
	jobs := map[string]*job{}
	for _, l := range lines { // a task's start may be written before its job's submission
		if l.Event == "submission" && jobs[l.Request] == nil {
			jobs[l.Request] = &job{submittedAt: l.at, startCounts: map[string]int{}, attempts: map[attemptKey]*attempt{}}
		}
	}
	for _, l := range lines {
		id := cmp.Or(l.Request, l.Job, strings.Split(l.Task, ".")[0])
		if j := jobs[id]; j != nil {
			j.apply(l)
		}
	}
	return jobs
}

// apply applies one line.
func (j *job) apply(l logLine) {
	key := attemptKey{task: l.Task, number: l.Attempt}
	switch l.Event {
	case "submission":
		if l.Outcome == "ok" && !j.wasAccepted {
			j.acceptedAt, j.wasAccepted = l.at, true
		}
	case "start_ordered":
		j.startCounts[l.Task]++
		j.attempts[key] = &attempt{step: taskStep(l.Task), start: l.at}
	case "attempt_ended":
		if a := j.attempts[key]; a != nil {
			a.end, a.succeeded = l.at, l.Reason == "done"
		}
	case "job_ended":
		if j.state == "" {
			j.endedAt, j.state = l.at, l.State
		}
	}
}

// taskStep is the step of a task's name.
func taskStep(task string) string {
	parts := strings.Split(task, ".")
	if len(parts) < 3 {
		return ""
	}
	return parts[2]
}

// stepTimes are the times of one step of a job.
type stepTimes struct {
	firstStart, lastStart, end time.Duration // of the starts of its tasks, and of the last end
	longestTask                time.Duration // of its longest task
}

// steps returns the times of the steps in the order in which they began.
func (j *job) steps() (all []stepTimes) {
	byStep := map[string]*stepTimes{}
	for _, a := range j.attempts {
		if !a.succeeded {
			continue
		}
		s := byStep[a.step]
		if s == nil {
			s = &stepTimes{firstStart: a.start, lastStart: a.start}
			byStep[a.step] = s
		}
		s.firstStart, s.lastStart = min(s.firstStart, a.start), max(s.lastStart, a.start)
		s.end, s.longestTask = max(s.end, a.end), max(s.longestTask, a.end-a.start)
	}
	for _, s := range byStep {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b stepTimes) int { return cmp.Compare(a.firstStart, b.firstStart) })
	return all
}

// cause tells whether a job was in time, and if not what took most of the time.
func (j *job) cause(o Objective) Cause {
	switch {
	case j.state != "completed" && !j.wasAccepted:
		return NotAccepted
	case j.state != "completed":
		return NotEnded
	}
	if !j.wasAccepted {
		j.acceptedAt = j.submittedAt // the answer was lost
	}
	steps := j.steps()
	var work, spread, between time.Duration
	for i, s := range steps {
		work += s.longestTask
		spread += s.lastStart - s.firstStart
		if i > 0 {
			between += max(0, s.firstStart-steps[i-1].end)
		}
	}
	total := j.endedAt - j.submittedAt
	if total <= o.Target+time.Duration(o.Stretch*float64(work)) {
		return InTime
	}
	accepting, first := j.acceptedAt-j.submittedAt, j.startDelay()
	spans := map[Cause]time.Duration{Accepting: accepting, FirstStart: first}
	if j.hasRerun() {
		spans[Rerun] = total - accepting - first - work
	} else {
		spans[Spread], spans[BetweenSteps] = spread, between
		spans[Other] = total - accepting - first - work - spread - between
	}
	longest := Other
	for _, c := range Causes {
		if spans[c] > spans[longest] {
			longest = c
		}
	}
	return longest
}

// startDelay is how long the job waited for its first start, whatever became of that.
func (j *job) startDelay() time.Duration {
	first := j.endedAt
	for _, a := range j.attempts {
		first = min(first, a.start)
	}
	return max(0, first-j.acceptedAt)
}

func (j *job) hasRerun() bool {
	for _, n := range j.startCounts {
		if n > 1 {
			return true
		}
	}
	return false
}
