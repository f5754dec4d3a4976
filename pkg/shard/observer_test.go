package shard_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// cancelBound is how long after a confirmed cancellation a task may still start.
const cancelBound = 3 * time.Second

// maxWorkersCrashed is how many workers a task may crash: two more than the three after which its job
// is expected to fail.
const maxWorkersCrashed = 5

// minWorkersLost is how many workers have to be lost with a task before its job may fail for it.
const minWorkersLost = 2

// attemptAt is an attempt of a task at a boot.
type attemptAt struct {
	boot, task string
	attempt    int64
}

// observer checks the invariants against what workers do and what callers were told.
type observer struct {
	cluster         *testCluster
	running         map[string][]string  // boots, by task
	ended           map[string]bool      // tasks that ended as done at a worker
	done            map[string]bool      // tasks with an acknowledged end as done
	failed          map[string]int       // acknowledged failures, by task
	failures        map[string]int       // failures at workers, by task
	refused         map[string]bool      // jobs with only refused submissions
	steps           map[string]string    // specifications of submitted jobs
	cancelled       map[string]time.Time // when a job's cancel was confirmed
	copies          map[string]bool      // jobs whose tasks may run more than once at a time
	accounts        map[string]string    // of jobs
	allowed         map[string]int       // CPU limit of accounts, in thousandths; no entry for no limit
	crashedBy       map[string]int       // workers that a task has crashed
	workersLostWith map[string]int       // workers lost while a task was there
	violations      []string
	starts          int
	startsOf        map[string]int    // by task
	startsUntilDone map[attemptAt]int // of the task, when an attempt ended as done
	startsOfDone    int               // starts of tasks that had ended as done, without copies
	checkpoints     *checkpointObserver
	limitedStops    *limitedStops // checks the limits on missing tasks; nil for no check
}

func newObserver(e *testCluster) *observer {
	return &observer{
		cluster: e, running: map[string][]string{}, ended: map[string]bool{}, done: map[string]bool{}, failed: map[string]int{}, failures: map[string]int{},
		refused: map[string]bool{}, steps: map[string]string{}, cancelled: map[string]time.Time{}, copies: map[string]bool{},
		accounts: map[string]string{}, allowed: map[string]int{}, crashedBy: map[string]int{}, workersLostWith: map[string]int{},
		checkpoints: newCheckpointObserver(), startsOf: map[string]int{}, startsUntilDone: map[attemptAt]int{},
	}
}

func (w *observer) violated(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// Started implements fake.WorkersObserver.
func (w *observer) Started(boot, task string, attempt int64, checkpoint string) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.starts++
	w.startsOf[task]++
	w.limitedStops.started(task)
	w.cluster.logWorkerEvent("began", boot, task, attempt)
	job, _, _ := strings.Cut(task, ".")
	if others := w.running[task]; len(others) > 0 && !w.copies[job] {
		w.violated("%s attempt %d started at %s while it runs at %s", task, attempt, boot, others)
	}
	if w.done[task] {
		w.violated("%s attempt %d started at %s after it was done", task, attempt, boot)
	}
	if w.failed[task] >= maxAttempts {
		w.violated("%s attempt %d started at %s after %d failures", task, attempt, boot, w.failed[task])
	}
	if w.crashedBy[task] >= maxWorkersCrashed {
		w.violated("%s attempt %d started at %s after it had brought %d workers down", task, attempt, boot, w.crashedBy[task])
	}
	if w.refused[job] {
		w.violated("%s started at %s though its job was refused", task, boot)
	}
	if at, ok := w.cancelled[job]; ok && time.Since(at) > cancelBound {
		w.violated("%s started at %s %s after its job was cancelled", task, boot, time.Since(at))
	}
	if zone, since, ok := w.cluster.zones.evacuatedSince(boot); ok && since > evacuateBound {
		w.violated("%s started at %s %s after its zone %s was taken out of use", task, boot, since, zone)
	}
	if w.ended[task] && !w.copies[job] && !strings.Contains(w.steps[job], "/0s") {
		w.startsOfDone++
	}
	w.checkOrder(task, job)
	w.checkCheckpoint(task, attempt, checkpoint)
	w.running[task] = append(w.running[task], boot)
	w.checkLimit(task, w.accounts[job])
}

// checkLimit checks that the account stays within its limit.
func (w *observer) checkLimit(task, account string) {
	allowed, ok := w.allowed[account]
	if !ok {
		return
	}
	sum := 0
	for other, boots := range w.running {
		if job, _, _ := strings.Cut(other, "."); w.accounts[job] == account {
			sum += len(boots) * w.needs(other)
		}
	}
	if sum > allowed {
		w.violated("%s started with %d of %s running, which may have %d", task, sum, account, allowed)
	}
}

// needs returns the CPU needs of a task.
func (w *observer) needs(task string) int {
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[2])
	st, _ := parseStep(strings.Fields(w.steps[parts[0]])[step])
	return st.Needs.CPU
}

// checkOrder checks that the preceding steps are done.
func (w *observer) checkOrder(task, job string) {
	text, ok := w.steps[job]
	if !ok {
		w.violated("%s started though no such job was submitted", task)
		return
	}
	occurrence := strings.Split(task, ".")[1]
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	st, _ := parseStep(strings.Fields(text)[step])
	for _, a := range st.After {
		before, _ := parseStep(strings.Fields(text)[a])
		for i := range before.Count {
			if name := fmt.Sprintf("%s.%s.%d.%d", job, occurrence, a, i); !w.ended[name] {
				w.violated("%s started before %s was done", task, name)
			}
		}
	}
}

// Ended implements fake.WorkersObserver.
func (w *observer) Ended(boot, task string, attempt int64, reason platform.EndReason) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.cluster.logWorkerEvent("ended_"+string(reason), boot, task, attempt)
	w.running[task] = slices.DeleteFunc(w.running[task], func(b string) bool { return b == boot })
	switch reason {
	case platform.EndDone:
		w.ended[task] = true
		w.startsUntilDone[attemptAt{boot, task, attempt}] = w.startsOf[task]
	case platform.EndFailed:
		w.failures[task]++
	case platform.EndStopped:
		w.limitedStops.ended(w, boot, task)
	case fake.EndCrashed:
		w.workersLostWith[task]++
	}
}

// mayFailForLosses reports whether the job of a task may fail for lost workers: the task crashes them,
// and enough were lost.
func (w *observer) mayFailForLosses(task string) bool {
	return w.crashedBy[task] > 0 && w.workersLostWith[task] >= minWorkersLost
}

// Overcommitted implements fake.WorkersObserver.
func (w *observer) Overcommitted(boot, task string) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.violated("%s started at %s, which has no room for it", task, boot)
}

// Crashed implements fake.WorkersObserver.
func (w *observer) Crashed(_, task string) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.crashedBy[task]++
}

// Acked implements fake.WorkersObserver.
func (w *observer) Acked(boot string, end platform.AttemptEnd, counts bool) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	if counts {
		w.checkNotRepeated(boot, end)
	}
	w.cluster.logWorkerEvent("acknowledged_"+string(end.Reason), boot, end.Task, 0)
	w.checkpoints.acknowledged(end)
	switch end.Reason {
	case platform.EndDone:
		w.done[end.Task] = true
	case platform.EndFailed:
		w.failed[end.Task]++
	}
}

// checkNotRepeated checks that a task was not started after an end as done that is now acknowledged.
func (w *observer) checkNotRepeated(boot string, end platform.AttemptEnd) {
	job, _, _ := strings.Cut(end.Task, ".")
	before, ok := w.startsUntilDone[attemptAt{boot, end.Task, end.Attempt}]
	if again := w.startsOf[end.Task] - before; ok && again > 0 && !w.copies[job] {
		w.violated("%s started %d times after attempt %d, acknowledged now, was done at %s", end.Task, again, end.Attempt, boot)
	}
}

func (w *observer) report() string {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	if len(w.violations) == 0 {
		return fmt.Sprintf("%d starts, nothing broken\n", w.starts)
	}
	return strings.Join(w.violations, "\n") + "\n"
}

// startsAfterDone returns how many starts followed the end of their task as done.
func (w *observer) startsAfterDone() int {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	return w.startsOfDone
}

// invariants returns "kept", or the violations, whatever the number of starts.
func (w *observer) invariants() string {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	if len(w.violations) == 0 {
		return "kept\n"
	}
	return strings.Join(w.violations, "\n") + "\n"
}
