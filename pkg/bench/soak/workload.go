package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/platform/standin"
)

// step is a step of a drawn job, as its text tells the workers.
type step struct {
	count    int
	cpu      int           // thousandths of a core
	duration time.Duration // 0 to run until stopped
	saves    time.Duration // work between two checkpoints, 0 for none
	failures int           // of the first task, before it succeeds
	after    bool          // waits for the step before
	gang     bool
	copies   bool
}

// stepSeparator separates the steps in a job's text.
const stepSeparator = " "

// String formats a step for the text of its job.
func (s step) String() string {
	return fmt.Sprintf("%d,%d,%d,%d,%d,%t,%t,%t", s.count, s.cpu, s.duration.Milliseconds(), s.saves.Milliseconds(), s.failures, s.after, s.gang, s.copies)
}

// parseSteps parses the text of a job. Only texts of this package are parsed, so that no error can occur.
func parseSteps(text string) (steps []step) {
	for _, field := range strings.Split(text, stepSeparator) {
		f := strings.Split(field, ",")
		if len(f) != 8 {
			return nil
		}
		n := func(i int) int { v, _ := strconv.Atoi(f[i]); return v }
		flag := func(i int) bool { return f[i] == "true" }
		steps = append(steps, step{
			count: n(0), cpu: n(1), duration: time.Duration(n(2)) * time.Millisecond, saves: time.Duration(n(3)) * time.Millisecond,
			failures: n(4), after: flag(5), gang: flag(6), copies: flag(7),
		})
	}
	return steps
}

// drawSteps draws the steps of a job.
func drawSteps(rnd *rand.Rand) []step {
	short := time.Duration(20+rnd.IntN(400)) * time.Millisecond
	switch rnd.IntN(7) {
	case 0:
		return []step{{count: 1, cpu: 1000, duration: short}}
	case 1:
		return []step{{count: 3, cpu: 500, duration: short}, {count: 2, cpu: 1000, duration: short, after: true}}
	case 2:
		return []step{{count: 4, cpu: 500, duration: 3 * time.Second, saves: 250 * time.Millisecond}}
	case 3:
		return []step{{count: 2, cpu: 500, saves: 500 * time.Millisecond}}
	case 4:
		return []step{{count: 2, cpu: 500, duration: time.Second, gang: true, saves: 300 * time.Millisecond}}
	case 5:
		return []step{{count: 3, cpu: 500, duration: 2 * short, copies: true}}
	default:
		return []step{{count: 2, cpu: 500, duration: short, failures: 1 + rnd.IntN(maxAttempts)}}
	}
}

// The step of a job of many short tasks.
const (
	manyTasksCount = 700
	manyTasksCPU   = 20 // thousandths of a core
	manyTasksMinMs = 2
	// manyTasksSpanMs is the number of durations, in whole milliseconds, from manyTasksMinMs on.
	manyTasksSpanMs = 30
)

// manyTasks draws a step of many short tasks.
func manyTasks(rnd *rand.Rand) []step {
	duration := time.Duration(manyTasksMinMs+rnd.IntN(manyTasksSpanMs)) * time.Millisecond
	return []step{{count: manyTasksCount, cpu: manyTasksCPU, duration: duration}}
}

// maxAttempts is how often a task may fail before its job does.
const maxAttempts = 3

// text returns the text of a job.
func text(steps []step) string {
	var fields []string
	for _, s := range steps {
		fields = append(fields, s.String())
	}
	return strings.Join(fields, stepSeparator)
}

// job converts steps for submission.
func job(steps []step) standin.Job {
	j := standin.Job{Spec: text(steps)}
	for i, s := range steps {
		st := standin.Step{
			Count: s.count, CPU: s.cpu, EstimateMs: int(s.duration.Milliseconds()), Checkpointing: s.saves > 0,
			Gang: s.gang, Speculative: s.copies, LongRunning: s.duration == 0,
		}
		if s.after {
			st.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

// longRunning reports whether a job ends only when it is cancelled.
func longRunning(steps []step) bool { return steps[0].duration == 0 }

// behavior makes workers run the drawn tasks.
type behavior struct {
	mu     sync.Mutex
	failed map[string]int // failures so far, by task
}

// work returns what an attempt of a task does.
func (b *behavior) work(task, text string) fake.Work {
	id := parseTask(task)
	steps := parseSteps(text)
	if id.step >= len(steps) {
		return fake.Work{}
	}
	s := steps[id.step]
	w := fake.Work{Needs: platform.Resources{CPU: s.cpu}, Duration: s.duration, SaveEvery: s.saves}
	b.mu.Lock()
	defer b.mu.Unlock()
	if id.index == 0 && b.failed[task] < s.failures {
		b.failed[task]++
		w.Fails = true
	}
	return w
}

// taskID is the parts of a task's name.
type taskID struct {
	job         string
	step, index int
}

// parseTask parses a task's name, JOB.OCCURRENCE.STEP.INDEX.
func parseTask(name string) (id taskID) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return id
	}
	id.job = parts[0]
	id.step, _ = strconv.Atoi(parts[2]) // the workers' stand-in has parsed it
	id.index, _ = strconv.Atoi(parts[3])
	return id
}
