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

// cancelBound is how long after a confirmed cancel a task may still start.
const cancelBound = 3 * time.Second

// mostDown is how many workers a task may bring down: two more than the three after
// which callers count on its being given up.
const mostDown = 5

// leastLost is how many workers have to be lost with a task before it may be given up.
const leastLost = 2

// witness holds the promises against what workers do and callers were told.
type witness struct {
	estate    *testCluster
	running   map[string][]string  // boots, by task
	ended     map[string]bool      // tasks that ended done at a worker
	done      map[string]bool      // tasks whose done end was acknowledged
	failed    map[string]int       // failed ends that were acknowledged, by task
	failures  map[string]int       // failed ends at workers, by task
	refused   map[string]bool      // jobs whose every submission was refused
	steps     map[string]string    // texts of jobs that were submitted
	cancelled map[string]time.Time // when a job's cancel was confirmed
	copies    map[string]bool      // jobs whose tasks may run more than once at a time
	accounts  map[string]string    // of jobs
	allowed   map[string]int       // processors that an account may have running, in thousandths; others any
	down      map[string]int       // workers that a task has brought down
	under     map[string]int       // workers that went while a task was there
	broken    []string
	starts    int
}

func newWitness(e *testCluster) *witness {
	return &witness{
		estate: e, running: map[string][]string{}, ended: map[string]bool{}, done: map[string]bool{}, failed: map[string]int{}, failures: map[string]int{},
		refused: map[string]bool{}, steps: map[string]string{}, cancelled: map[string]time.Time{}, copies: map[string]bool{},
		accounts: map[string]string{}, allowed: map[string]int{}, down: map[string]int{}, under: map[string]int{},
	}
}

func (w *witness) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// Started implements fake.Witness.
func (w *witness) Started(boot, task string, attempt int64) {
	w.estate.mu.Lock()
	defer w.estate.mu.Unlock()
	w.starts++
	w.estate.logWorkerEvent("began", boot, task, attempt)
	job, _, _ := strings.Cut(task, ".")
	if others := w.running[task]; len(others) > 0 && !w.copies[job] {
		w.breaks("%s attempt %d started at %s while it runs at %s", task, attempt, boot, others)
	}
	if w.done[task] {
		w.breaks("%s attempt %d started at %s after it was done", task, attempt, boot)
	}
	if w.failed[task] >= maxAttempts {
		w.breaks("%s attempt %d started at %s after %d failures", task, attempt, boot, w.failed[task])
	}
	if w.down[task] >= mostDown {
		w.breaks("%s attempt %d started at %s after it had brought %d workers down", task, attempt, boot, w.down[task])
	}
	if w.refused[job] {
		w.breaks("%s started at %s though its job was refused", task, boot)
	}
	if at, ok := w.cancelled[job]; ok && time.Since(at) > cancelBound {
		w.breaks("%s started at %s %s after its job was cancelled", task, boot, time.Since(at))
	}
	if zone, since, ok := w.estate.zones.outSince(boot); ok && since > evacuateBound {
		w.breaks("%s started at %s %s after its zone %s was taken out of use", task, boot, since, zone)
	}
	w.checkOrder(task, job)
	w.running[task] = append(w.running[task], boot)
	w.checkLimit(task, w.accounts[job])
}

// checkLimit sees that what an account has running is within what it may.
func (w *witness) checkLimit(task, account string) {
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
		w.breaks("%s started with %d of %s running, which may have %d", task, sum, account, allowed)
	}
}

// needs is the processors that a task asks for.
func (w *witness) needs(task string) int {
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[2])
	st, _ := parseStep(strings.Fields(w.steps[parts[0]])[step])
	return st.Needs.CPU
}

// checkOrder sees that the steps before are done.
func (w *witness) checkOrder(task, job string) {
	text, ok := w.steps[job]
	if !ok {
		w.breaks("%s started though no such job was submitted", task)
		return
	}
	occurrence := strings.Split(task, ".")[1]
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	st, _ := parseStep(strings.Fields(text)[step])
	for _, a := range st.After {
		before, _ := parseStep(strings.Fields(text)[a])
		for i := range before.Count {
			if name := fmt.Sprintf("%s.%s.%d.%d", job, occurrence, a, i); !w.ended[name] {
				w.breaks("%s started before %s was done", task, name)
			}
		}
	}
}

// Ended implements fake.Witness.
func (w *witness) Ended(boot, task string, attempt int64, reason platform.EndReason) {
	w.estate.mu.Lock()
	defer w.estate.mu.Unlock()
	w.estate.logWorkerEvent("ended_"+string(reason), boot, task, attempt)
	w.running[task] = slices.DeleteFunc(w.running[task], func(b string) bool { return b == boot })
	switch reason {
	case platform.EndDone:
		w.ended[task] = true
	case platform.EndFailed:
		w.failures[task]++
	case fake.EndCrashed:
		w.under[task]++
	}
}

// mayBeGivenUp tells whether a task may be given up for the workers lost with it: it
// brings them down, and enough were lost.
func (w *witness) mayBeGivenUp(task string) bool {
	return w.down[task] > 0 && w.under[task] >= leastLost
}

// Overfilled implements fake.Witness.
func (w *witness) Overfilled(boot, task string) {
	w.estate.mu.Lock()
	defer w.estate.mu.Unlock()
	w.breaks("%s started at %s, which has no room for it", task, boot)
}

// BroughtDown implements fake.Witness.
func (w *witness) BroughtDown(_, task string) {
	w.estate.mu.Lock()
	defer w.estate.mu.Unlock()
	w.down[task]++
}

// Acked implements fake.Witness.
func (w *witness) Acked(boot, task string, reason platform.EndReason) {
	w.estate.mu.Lock()
	defer w.estate.mu.Unlock()
	w.estate.logWorkerEvent("acknowledged_"+string(reason), boot, task, 0)
	switch reason {
	case platform.EndDone:
		w.done[task] = true
	case platform.EndFailed:
		w.failed[task]++
	}
}

func (w *witness) report() string {
	w.estate.mu.Lock()
	defer w.estate.mu.Unlock()
	if len(w.broken) == 0 {
		return fmt.Sprintf("%d starts, nothing broken\n", w.starts)
	}
	return strings.Join(w.broken, "\n") + "\n"
}

// promises tells whether all promises were kept, however many starts that took.
func (w *witness) promises() string {
	w.estate.mu.Lock()
	defer w.estate.mu.Unlock()
	if len(w.broken) == 0 {
		return "kept\n"
	}
	return strings.Join(w.broken, "\n") + "\n"
}
