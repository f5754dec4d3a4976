package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// Bounds that the checker holds the service to, beside the settings of the entries.
const (
	// visibleDelay is how long after its acceptance a job may still be unknown to an entry.
	visibleDelay = 3 * time.Second
	// cancelDelay is how long after a confirmed cancellation a task may still start: 3 s, and the time by
	// which an order may be carried out late.
	cancelDelay = 3*time.Second + lateDelay
	// shortestLapse is less than the time after which leases lapse at a worker that can't be reached.
	shortestLapse = 2500 * time.Millisecond
	// callSpan is how long a call to a worker may be under way.
	callSpan = 3 * time.Second
	// eventDelay is how late a worker's event may reach the checker.
	eventDelay = time.Second
)

// Final states of a job, as callers are told them.
const (
	stateCompleted = "completed"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
)

// isFinal reports whether a job in a state has ended.
func isFinal(state string) bool {
	return state == stateCompleted || state == stateFailed || state == stateCancelled
}

// checker compares what workers did with what callers were told. It knows nothing of the entries.
type checker struct {
	report func(format string, args ...any) // of a broken promise

	mu      sync.Mutex
	jobs    map[string]*jobHistory
	tasks   map[string]*taskHistory
	faults  map[string]*workerFaults // by VM, allVMs for all
	checks  int                      // promises checked
	starts  int
	repeats int // starts of tasks that had ended as done at a worker, without copies
}

// jobHistory is what callers sent and were told of a job.
type jobHistory struct {
	steps       []step
	refused     bool // every submission was rejected
	acceptedAt  time.Time
	cancelAsked bool      // a cancellation was sent, whether it was answered or not
	cancelledAt time.Time // when one was confirmed
	missing     bool      // it was not found, and that was reported
	final       string    // state that callers were told last, empty while it is not final
}

// taskHistory is what workers did with a task.
type taskHistory struct {
	running   map[string]int64 // attempt by boot
	doneAt    time.Time        // when it first ended as done
	doneBoot  string           // where
	doneAcked bool
	failures  int // at workers
	failAcked int // acknowledged
	starts    int
	startsAt  map[attemptAt]int // of the task, when an attempt ended as done
}

// attemptAt is an attempt of a task at a boot.
type attemptAt struct {
	boot   string
	number int64
}

// allVMs stands for all VMs in [checker.disturbing].
const allVMs = "*"

// workerFaults are the disturbances of a worker that may have made it lose leases.
type workerFaults struct {
	active  map[int]time.Time // by disturbance in progress: from when on leases may lapse
	begun   int               // disturbances so far
	lapseAt time.Time         // when leases may have lapsed last, by those that are over
}

func newChecker(report func(format string, args ...any)) *checker {
	return &checker{report: report, jobs: map[string]*jobHistory{}, tasks: map[string]*taskHistory{}, faults: map[string]*workerFaults{}}
}

// disturbing records that a worker is disturbed until end is called, and that leases there may lapse once
// that has lasted for some time.
func (c *checker) disturbing(vm string, lapseAfter time.Duration) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.faults[vm]
	if f == nil {
		f = &workerFaults{active: map[int]time.Time{}}
		c.faults[vm] = f
	}
	id := f.begun
	f.begun++
	f.active[id] = time.Now().Add(lapseAfter)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if now := time.Now(); !now.Before(f.active[id]) {
			f.lapseAt = now
		}
		delete(f.active, id)
	}
}

// mayHaveLapsed reports whether leases at the worker of a boot may have lapsed since a time.
func (c *checker) mayHaveLapsed(boot string, since time.Time) bool {
	now := time.Now()
	for _, vm := range []string{vmOf(boot), allVMs} {
		f := c.faults[vm]
		if f == nil {
			continue
		}
		if f.lapseAt.After(since) {
			return true
		}
		for _, from := range f.active {
			if !now.Before(from) {
				return true
			}
		}
	}
	return false
}

// vmOf returns the VM of a boot, VM-N.
func vmOf(boot string) string {
	if at := strings.LastIndexByte(boot, '-'); at >= 0 {
		return boot[:at]
	}
	return boot
}

// submitted records a job before its first submission.
func (c *checker) submitted(id string, steps []step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &jobHistory{steps: steps}
}

// accepted records that a submission was answered with success.
func (c *checker) accepted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].acceptedAt = time.Now()
}

// refused records that every submission of a job was rejected and that no other follows.
func (c *checker) refused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].refused = true
	for name, t := range c.tasks {
		if parseTask(name).job == id && t != nil {
			c.report("%s began though its job was refused", name)
		}
	}
}

// cancelling records that a cancellation is sent.
func (c *checker) cancelling(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelAsked = true
}

// cancelled records a confirmed cancellation.
func (c *checker) cancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelledAt = time.Now()
}

// notFound checks an answer that there is no such job.
func (c *checker) notFound(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	j := c.jobs[id]
	if !j.acceptedAt.IsZero() && !j.cancelAsked && !j.missing && time.Since(j.acceptedAt) > visibleDelay {
		j.missing = true
		c.report("job %s is not found %s after it was accepted", id, time.Since(j.acceptedAt))
	}
}

// told checks a job's state as a caller was told it.
func (c *checker) told(id, state string) {
	at := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	j := c.jobs[id]
	if j.final != "" && state != j.final {
		c.report("job %s is %s after it was %s", id, state, j.final)
	}
	if !isFinal(state) {
		return
	}
	if j.final == "" {
		time.AfterFunc(eventDelay, func() { c.checkFinal(id, state, at) })
	}
	j.final = state
}

// checkFinal checks a final state against the workers' events.
func (c *checker) checkFinal(id, state string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	j := c.jobs[id]
	switch state {
	case stateCompleted:
		c.checkCompleted(id, j, at)
	case stateFailed:
		if !c.hasFailed(id, j) {
			c.report("job %s failed, and no task of it %d times", id, maxAttempts)
		}
	case stateCancelled:
		if !j.cancelAsked {
			c.report("job %s is cancelled, which nobody asked for", id)
		}
	}
}

// checkCompleted checks that every task of a job had ended as done by a time. One such end is enough for
// a gang.
func (c *checker) checkCompleted(id string, j *jobHistory, at time.Time) {
	for i, s := range j.steps {
		done := 0
		for n := range s.count {
			if t := c.tasks[taskName(id, i, n)]; t != nil && !t.doneAt.IsZero() && !t.doneAt.After(at) {
				done++
			}
		}
		if done < s.count && !(s.gang && done > 0) {
			c.report("job %s is completed, with %d of %d tasks of step %d done", id, done, s.count, i)
		}
	}
}

// hasFailed reports whether a task, or a gang, has failed as often as it may.
func (c *checker) hasFailed(id string, j *jobHistory) bool {
	for i, s := range j.steps {
		inStep := 0
		for n := range s.count {
			if t := c.tasks[taskName(id, i, n)]; t != nil {
				inStep += t.failures
				if t.failures >= maxAttempts {
					return true
				}
			}
		}
		if s.gang && inStep >= maxAttempts {
			return true
		}
	}
	return false
}

func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// observe checks one event of a worker.
func (c *checker) observe(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[e.Task]
	if t == nil {
		t = &taskHistory{running: map[string]int64{}, startsAt: map[attemptAt]int{}}
		c.tasks[e.Task] = t
	}
	at := time.Unix(0, e.At)
	switch e.Kind {
	case EventStarted:
		c.checkStart(e, t, at)
		t.running[e.Boot] = e.Attempt
		t.starts++
	case EventEnded:
		delete(t.running, e.Boot)
		if e.Reason == platform.EndDone {
			t.startsAt[attemptAt{e.Boot, e.Attempt}] = t.starts
		}
		switch {
		case e.Reason == platform.EndDone && t.doneAt.IsZero():
			t.doneAt, t.doneBoot = at, e.Boot
		case e.Reason == platform.EndFailed:
			t.failures++
		}
	case EventAcked:
		t.doneAcked = t.doneAcked || e.Reason == platform.EndDone
		c.checkAcked(e, t)
		if e.Reason == platform.EndFailed {
			t.failAcked++
		}
	case EventTooLarge:
		c.report("%s began at %s, which has no room for it", e.Task, e.Boot)
	}
}

// checkStart checks whether an attempt may begin.
func (c *checker) checkStart(e Event, t *taskHistory, at time.Time) {
	c.checks++
	c.starts++
	id := parseTask(e.Task)
	j := c.jobs[id.job]
	if j == nil || id.step >= len(j.steps) {
		c.report("%s began, which nobody submitted", e.Task)
		return
	}
	s := j.steps[id.step]
	if !s.copies {
		c.checkOnce(e, t)
	}
	if s.duration > 0 && !s.gang && !s.copies && t.failAcked >= maxAttempts {
		c.report("%s attempt %d began after %d failures", e.Task, e.Attempt, t.failAcked)
	}
	if j.refused {
		c.report("%s began though its job was refused", e.Task)
	}
	if !j.cancelledAt.IsZero() && at.Sub(j.cancelledAt) > cancelDelay {
		c.report("%s began at %s %s after its job was cancelled", e.Task, e.Boot, at.Sub(j.cancelledAt))
	}
	if saved := fake.ParseCheckpoint(e.Checkpoint).Task; saved != e.Task && saved != "" && !(s.gang && sameStep(saved, e.Task)) {
		c.report("%s began from a checkpoint of %s", e.Task, saved)
	}
	if s.after {
		c.checkOrder(e.Task, id, j)
	}
}

// checkOnce checks that no other attempt of the task runs and that it is not done.
func (c *checker) checkOnce(e Event, t *taskHistory) {
	for boot, attempt := range t.running {
		if boot != e.Boot || attempt != e.Attempt {
			c.report("%s attempt %d began at %s while attempt %d runs at %s", e.Task, e.Attempt, e.Boot, attempt, boot)
		}
	}
	switch {
	case t.doneAcked:
		c.report("%s attempt %d began at %s after it was done and its end acknowledged", e.Task, e.Attempt, e.Boot)
	case !t.doneAt.IsZero():
		c.repeats++
		if !c.mayHaveLapsed(t.doneBoot, t.doneAt.Add(-callSpan)) {
			c.report("%s attempt %d began at %s though %s, which can be asked, lists it as done", e.Task, e.Attempt, e.Boot, t.doneBoot)
		}
	}
}

// checkAcked checks that a task was not started between an end as done that counts and its acknowledgement.
func (c *checker) checkAcked(e Event, t *taskHistory) {
	before, done := t.startsAt[attemptAt{e.Boot, e.Attempt}]
	if !done || !e.Counts || c.mayHaveCopies(e.Task) {
		return
	}
	c.checks++
	if again := t.starts - before; again > 0 {
		c.report("%s began %d times after attempt %d was done at %s, which is acknowledged now", e.Task, again, e.Attempt, e.Boot)
	}
}

// mayHaveCopies reports whether several attempts of a task may run at a time.
func (c *checker) mayHaveCopies(task string) bool {
	id := parseTask(task)
	j := c.jobs[id.job]
	return j != nil && id.step < len(j.steps) && j.steps[id.step].copies
}

// checkOrder checks that the tasks of the step before are done.
func (c *checker) checkOrder(task string, id taskID, j *jobHistory) {
	for n := range j.steps[id.step-1].count {
		name := taskName(id.job, id.step-1, n)
		if before := c.tasks[name]; before == nil || before.doneAt.IsZero() {
			c.report("%s began before %s was done", task, name)
		}
	}
}

func sameStep(a, b string) bool {
	return a[:strings.LastIndexByte(a, '.')] == b[:strings.LastIndexByte(b, '.')]
}

// result returns what the checker has counted.
func (c *checker) result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Result{Jobs: len(c.jobs), Starts: c.starts, Repeats: c.repeats, Checks: c.checks}
}

// unfinished returns the accepted jobs that callers have not been told the end of, sorted.
func (c *checker) unfinished() (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if !j.acceptedAt.IsZero() && j.final == "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// stillRunning returns the tasks of ended jobs that run, sorted.
func (c *checker) stillRunning() (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.tasks {
		if j := c.jobs[parseTask(name).job]; j != nil && j.final != "" && len(t.running) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
