package lateness

import (
	"cmp"
	"io"
	"slices"
	"strings"
	"time"
)

// Cause is the phase that took most of a late job's time besides its work.
type Cause string

// Causes, with the state of jobs that were not late or did not complete.
const (
	InTime       Cause = "in time"
	NotAccepted  Cause = "not accepted" // every submission was refused
	NotEnded     Cause = "not ended"
	Accepting    Cause = "accepting"     // first submission to accepted submission
	FirstStart   Cause = "first start"   // acceptance to the first start of a task
	Spread       Cause = "spread"        // first to last start of a step's tasks
	BetweenSteps Cause = "between steps" // end of a step to the first start of the next
	Rerun        Cause = "rerun"         // a task was started more than once
	Other        Cause = "other"
)

// Causes lists all causes in the order of the printed columns.
var Causes = []Cause{InTime, Accepting, FirstStart, Spread, BetweenSteps, Rerun, Other, NotEnded, NotAccepted}

// Objective is the latency objective: a job is in time if it ends within Target plus
// Stretch times its work (the longest task of each step, summed) of its first submission.
type Objective struct {
	Target  time.Duration
	Stretch float64
}

// Window counts, by cause, the jobs first submitted in a time window that starts at From.
type Window struct {
	From   time.Duration
	Counts map[Cause]int
}

// CountByWindow reads a log and counts its jobs in windows of the given length, in order.
// Cancelled jobs are ignored.
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

// job holds the events of one job in the log.
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

// jobsByID groups the log lines by job.
func jobsByID(lines []logLine) map[string]*job {
	jobs := map[string]*job{}
	for _, l := range lines { // a start may be logged before its job's submission
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

// apply updates the job with a log line.
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

// taskStep returns the step in a task's name, "" if it has none.
func taskStep(task string) string {
	parts := strings.Split(task, ".")
	if len(parts) < 3 {
		return ""
	}
	return parts[2]
}

// stepTimes holds the timing of one step of a job.
type stepTimes struct {
	firstStart, lastStart, end time.Duration // first and last start of its tasks, end of the last task
	longestTask                time.Duration // duration of its longest task
}

// steps returns the timing of the steps, ordered by start.
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

// cause returns InTime or the cause of the job's lateness.
func (j *job) cause(o Objective) Cause {
	switch {
	case j.state != "completed" && !j.wasAccepted:
		return NotAccepted
	case j.state != "completed":
		return NotEnded
	}
	if !j.wasAccepted {
		j.acceptedAt = j.submittedAt // the response to the accepted submission was lost
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
	accepting, startDelay := j.acceptedAt-j.submittedAt, j.startDelay()
	spans := map[Cause]time.Duration{Accepting: accepting, FirstStart: startDelay}
	if j.hasRerun() {
		spans[Rerun] = total - accepting - startDelay - work
	} else {
		spans[Spread], spans[BetweenSteps] = spread, between
		spans[Other] = total - accepting - startDelay - work - spread - between
	}
	longest := Other
	for _, c := range Causes {
		if spans[c] > spans[longest] {
			longest = c
		}
	}
	return longest
}

// startDelay returns the time from acceptance to the first start of any task, even one that failed.
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
