package jobs

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// attemptsPerTerm leaves room for the attempts of one task within a term of
// ownership; numbers of a later term are above all of an earlier one.
const attemptsPerTerm = 1 << 12

// Registry holds the jobs of one pool. It is not safe for concurrent use.
type Registry struct {
	term   int64
	jobs   map[string]*Job
	active []*Job                        // not final, in order of acceptance
	ended  int                           // jobs in active that have become final since it was tidied
	held   map[string]platform.Resources // by client account: what attempts take or may take
}

// NewRegistry returns an empty book; attempt numbers rise with the term.
func NewRegistry(term int64) *Registry {
	return &Registry{term: term, jobs: map[string]*Job{}, held: map[string]platform.Resources{}}
}

// Add takes a job that was just accepted.
func (b *Registry) Add(id string, r Record, now time.Duration) {
	b.insert(newJob(id, r, now))
}

// Restore takes a job that a former owner kept, with its progress.
func (b *Registry) Restore(id string, r Record, p Progress, addedAt time.Duration) {
	j := newJob(id, r, addedAt)
	j.Restored = true
	j.restore(p)
	b.insert(j)
}

func (b *Registry) insert(j *Job) {
	b.jobs[j.ID] = j
	if !j.State.Final() {
		b.active = append(b.active, j)
	}
}

// Job returns a job, nil if there is none of that ID.
func (b *Registry) Job(id string) *Job { return b.jobs[id] }

// Remove forgets a job.
func (b *Registry) Remove(id string) {
	if j := b.jobs[id]; j != nil {
		j.eachAttempt(b.RemoveAttempt)
		delete(b.jobs, id)
		b.active = slices.DeleteFunc(b.active, func(o *Job) bool { return o == j })
	}
}

// All calls f for each job.
func (b *Registry) All(f func(*Job)) {
	for _, j := range b.jobs {
		f(j)
	}
}

// Active returns the jobs that are not final, in order of acceptance.
func (b *Registry) Active() []*Job {
	if b.ended > 0 {
		b.active = slices.DeleteFunc(b.active, func(j *Job) bool { return j.State.Final() })
		b.ended = 0
	}
	return b.active
}

// HasOccurrences tells whether a job has occurrences that are due at a time.
func (b *Registry) HasOccurrences() bool {
	return slices.ContainsFunc(b.Active(), func(j *Job) bool { return j.Spec.Times > 0 })
}

// CountQueued counts the jobs of a queue none of whose tasks has begun.
func (b *Registry) CountQueued(queue string) int {
	n := 0
	for _, j := range b.Active() {
		if j.Queue == queue && !j.Started {
			n++
		}
	}
	return n
}

// Task finds a task by the name that workers know it by, nil if it is unknown.
func (b *Registry) Task(name string) *Task {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil
	}
	j := b.jobs[parts[0]]
	if j == nil {
		return nil
	}
	id := TaskID{Job: parts[0]}
	var err [3]error
	id.Occurrence, err[0] = strconv.Atoi(parts[1])
	id.Step, err[1] = strconv.Atoi(parts[2])
	id.Index, err[2] = strconv.Atoi(parts[3])
	if err[0] != nil || err[1] != nil || err[2] != nil {
		return nil
	}
	return j.task(id)
}

// StartAttempt notes that an attempt of a task is ordered at a worker.
func (b *Registry) StartAttempt(t *Task, boot string, now time.Duration) *Attempt {
	t.lastAttempt = max(t.lastAttempt+1, b.term*attemptsPerTerm)
	return b.attach(t, &Attempt{Task: t, Number: t.lastAttempt, Boot: boot, Phase: PhaseOrdered, OrderedAt: now, ProgressAt: now})
}

// StartGang notes that attempts of all tasks of a step are ordered, with one number.
func (b *Registry) StartGang(s *StepRun, boots []string, now time.Duration) []*Attempt {
	number := b.term * attemptsPerTerm
	for _, t := range s.Tasks {
		number = max(number, t.lastAttempt+1)
	}
	attempts := make([]*Attempt, 0, len(s.Tasks))
	for i, t := range s.Tasks {
		t.lastAttempt = number
		attempts = append(attempts, b.attach(t, &Attempt{
			Task: t, Number: number, Boot: boots[i], Phase: PhaseOrdered, OrderedAt: now, ProgressAt: now,
		}))
	}
	return attempts
}

// Adopt notes an attempt that a worker reports and that this book did not order.
func (b *Registry) Adopt(t *Task, number int64, boot string, now time.Duration) *Attempt {
	t.lastAttempt = max(t.lastAttempt, number)
	a := b.attach(t, &Attempt{Task: t, Number: number, Boot: boot, Phase: PhaseRunning, OrderedAt: now, ProgressAt: now})
	b.MarkStarted(a)
	return a
}

func (b *Registry) attach(t *Task, a *Attempt) *Attempt {
	if !t.Done && len(t.Attempts) == 0 {
		t.Step.held++
	}
	t.Attempts = append(t.Attempts, a)
	t.WantsCopy = false
	j := t.Step.Job
	b.held[j.Account] = b.held[j.Account].Add(t.Step.Spec.Needs)
	return a
}

// Allocated is what the attempts of a client account's tasks take or may take, those that
// are being stopped included.
func (b *Registry) Allocated(account string) platform.Resources { return b.held[account] }

// MarkStarted notes that a worker has taken the attempt.
func (b *Registry) MarkStarted(a *Attempt) {
	if a.Phase != PhaseStopped {
		a.Phase = PhaseRunning
	}
	j := a.Task.Step.Job
	j.Started = true
	if j.State == StateQueued {
		j.State = StateRunning
	}
	if j.PersistedState == StateQueued {
		j.PersistedState = StateRunning // follows from the workers' reports, needs no row
	}
}

// EachAllocated calls f for each client account whose tasks have attempts.
func (b *Registry) EachAllocated(f func(account string)) {
	for account := range b.held {
		f(account)
	}
}

// RemoveAttempt notes that an attempt is not at its worker: it never started, or was lost with it.
func (b *Registry) RemoveAttempt(a *Attempt) {
	t := a.Task
	at := slices.Index(t.Attempts, a)
	if at >= 0 {
		t.Attempts = slices.Delete(t.Attempts, at, at+1)
		b.release(t)
	}
	if a.Checkpoint != "" {
		t.Checkpoint = a.Checkpoint
	}
}

// release notes that a task has an attempt less.
func (b *Registry) release(t *Task) {
	if len(t.Attempts) == 0 && !t.Done {
		t.Step.held--
	}
	account := t.Step.Job.Account
	left := b.held[account].Sub(t.Step.Spec.Needs)
	if left == (platform.Resources{}) {
		delete(b.held, account)
		return
	}
	b.held[account] = left
}

// Effect tells what an end has changed.
type Effect struct {
	MustPersist     bool       // the job's progress has to be kept before the end is acknowledged
	Surplus  []*Attempt // copies that are no longer needed
	JobEnded bool
}

// EndAttempt notes that the attempt of a task with a number has ended; a may be nil if
// the book does not hold it. An end may be told again, to another owner.
func (b *Registry) EndAttempt(t *Task, a *Attempt, number int64, reason platform.EndReason, checkpoint string) (e Effect) {
	if a != nil {
		b.RemoveAttempt(a)
	}
	j := t.Step.Job
	if t.Done || j.State.Final() {
		return e
	}
	if checkpoint != "" {
		t.Checkpoint = checkpoint
		e.MustPersist = true
	}
	switch reason {
	case platform.EndDone:
		e.MustPersist = true
		b.endDone(t, &e)
	case platform.EndFailed:
		e.MustPersist = b.endFailed(t, number)
	}
	if j.State.Final() {
		e.JobEnded = true
		b.ended++
	}
	return e
}

func (b *Registry) endDone(t *Task, e *Effect) {
	s := t.Step
	if s.Spec.LongRunning {
		return // to be started again
	}
	if s.Spec.Gang {
		for _, m := range s.Tasks { // one end counts for all members
			s.Job.finishTask(m)
		}
		return
	}
	s.Job.finishTask(t)
	e.Surplus = append(e.Surplus, t.Attempts...)
}

// endFailed counts a failed attempt unless it was counted before; it reports whether it was not.
func (b *Registry) endFailed(t *Task, number int64) bool {
	s := t.Step
	if s.Spec.LongRunning {
		return false
	}
	failed := &t.Failed
	if s.Spec.Gang {
		failed = &s.GangFailed
	}
	if slices.Contains(*failed, number) {
		return false
	}
	*failed = append(*failed, number)
	if len(*failed) >= s.Job.MaxAttempts {
		s.Job.State = StateFailed
	}
	return true
}

// MarkReconciled notes that all workers were heard at which tasks of restored jobs may be.
func (b *Registry) MarkReconciled() {
	b.All(func(j *Job) { j.seen = true })
}

// FailJobOf ends the job of a task that brings its workers down; it reports whether the job
// was not final before.
func (b *Registry) FailJobOf(t *Task) bool { return b.final(t.Step.Job, StateFailed) }

// Fail ends a job that can't go on; it reports whether the job was not final before.
func (b *Registry) Fail(j *Job) bool { return b.final(j, StateFailed) }

// Cancel ends a job; it reports whether the job was not final before.
func (b *Registry) Cancel(j *Job) bool { return b.final(j, StateCancelled) }

func (b *Registry) final(j *Job, state State) bool {
	if j.State.Final() {
		return false
	}
	j.State = state
	b.ended++
	return true
}
