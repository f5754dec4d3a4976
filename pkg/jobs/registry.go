package jobs

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// attemptsPerTerm is the size of the range of attempt numbers that each ownership term reserves for
// a task, so that numbers of a later term exceed all earlier ones.
const attemptsPerTerm = 1 << 12

// Registry holds the jobs of one pool. It is not safe for concurrent use.
type Registry struct {
	term          int64
	jobs          map[string]*Job
	active        []*Job                        // not final, in order of acceptance
	finalInActive int                           // number of final jobs still in active
	allocated     map[string]platform.Resources // by client account: resources that attempts use or may use
}

// NewRegistry returns an empty registry. Attempt numbers start above those of earlier terms.
func NewRegistry(term int64) *Registry {
	return &Registry{term: term, jobs: map[string]*Job{}, allocated: map[string]platform.Resources{}}
}

// Add adds a newly accepted job.
func (reg *Registry) Add(id string, r Record, now time.Duration) {
	reg.insert(newJob(id, r, now))
}

// Restore adds a job that a former owner persisted, with its progress.
func (reg *Registry) Restore(id string, r Record, p Progress, addedAt time.Duration) {
	j := newJob(id, r, addedAt)
	j.Restored = true
	j.restore(p)
	reg.insert(j)
}

func (reg *Registry) insert(j *Job) {
	reg.jobs[j.ID] = j
	if !j.State.Final() {
		reg.active = append(reg.active, j)
	}
}

// Job returns the job with the given ID, or nil.
func (reg *Registry) Job(id string) *Job { return reg.jobs[id] }

// Remove deletes a job and releases the resources of its attempts.
func (reg *Registry) Remove(id string) {
	if j := reg.jobs[id]; j != nil {
		j.eachAttempt(func(a *Attempt) { reg.RemoveAttempt(a) })
		delete(reg.jobs, id)
		reg.active = slices.DeleteFunc(reg.active, func(o *Job) bool { return o == j })
	}
}

// All calls f for each job.
func (reg *Registry) All(f func(*Job)) {
	for _, j := range reg.jobs {
		f(j)
	}
}

// Active returns the jobs that are not final, in order of acceptance.
func (reg *Registry) Active() []*Job {
	if reg.finalInActive > 0 {
		reg.active = slices.DeleteFunc(reg.active, func(j *Job) bool { return j.State.Final() })
		reg.finalInActive = 0
	}
	return reg.active
}

// HasOccurrences reports whether any active job runs on a schedule.
func (reg *Registry) HasOccurrences() bool {
	return slices.ContainsFunc(reg.Active(), func(j *Job) bool { return j.Spec.Times > 0 })
}

// CountQueued returns the number of active jobs of a queue that have not started any task. The name tells jobs of
// which the route is not stored.
func (reg *Registry) CountQueued(queue, route string) int {
	n := 0
	for _, j := range reg.Active() {
		if !j.Started && (j.Route == route && route != "" || j.Route == "" && j.Queue == queue) {
			n++
		}
	}
	return n
}

// Task returns the task with the given name, as formatted by [TaskID.String], or nil.
func (reg *Registry) Task(name string) *Task {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil
	}
	j := reg.jobs[parts[0]]
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

// StartAttempt records a new attempt of a task that is being ordered at the worker of the given
// boot.
func (reg *Registry) StartAttempt(t *Task, boot string, now time.Duration) *Attempt {
	t.lastAttempt = max(t.lastAttempt+1, reg.term*attemptsPerTerm)
	a := reg.addAttempt(t, &Attempt{Task: t, Number: t.lastAttempt, Boot: boot, Phase: PhaseOrdered, OrderedAt: now, ProgressAt: now})
	a.resume(t.Checkpoint, t.checkpointOrigin)
	return a
}

// StartGang records an attempt for every task of a gang step, all with the same number and from the
// same checkpoint.
func (reg *Registry) StartGang(s *StepRun, boots []string, now time.Duration) []*Attempt {
	number := reg.term * attemptsPerTerm
	for _, t := range s.Tasks {
		number = max(number, t.lastAttempt+1)
	}
	checkpoint, origin := s.furthestCheckpoint()
	attempts := make([]*Attempt, 0, len(s.Tasks))
	for i, t := range s.Tasks {
		t.lastAttempt = number
		a := reg.addAttempt(t, &Attempt{Task: t, Number: number, Boot: boots[i], Phase: PhaseOrdered, OrderedAt: now, ProgressAt: now})
		a.resume(checkpoint, origin)
		attempts = append(attempts, a)
	}
	return attempts
}

// Adopt records an attempt that a worker reports and that this owner did not order.
func (reg *Registry) Adopt(t *Task, number int64, boot string, now time.Duration) *Attempt {
	t.lastAttempt = max(t.lastAttempt, number)
	a := reg.addAttempt(t, &Attempt{Task: t, Number: number, Boot: boot, Phase: PhaseRunning, OrderedAt: now, ProgressAt: now})
	reg.MarkStarted(a)
	return a
}

func (reg *Registry) addAttempt(t *Task, a *Attempt) *Attempt {
	if !t.Done && len(t.Attempts) == 0 {
		t.Step.attempted++
	}
	t.Attempts = append(t.Attempts, a)
	t.CopyRequested = false
	j := t.Step.Job
	reg.allocated[j.Account] = reg.allocated[j.Account].Add(t.Step.Spec.Needs)
	return a
}

// Allocated returns the resources that an account's attempts use or may use, including those being
// stopped.
func (reg *Registry) Allocated(account string) platform.Resources { return reg.allocated[account] }

// MarkStarted records that a worker accepted the attempt.
func (reg *Registry) MarkStarted(a *Attempt) {
	if a.Phase != PhaseStopped {
		a.Phase = PhaseRunning
	}
	j := a.Task.Step.Job
	j.Started = true
	if j.State == StateQueued {
		j.State = StateRunning
	}
	if j.ReportedState == StateQueued {
		j.ReportedState = StateRunning // derivable from workers' reports, so it is not persisted
	}
}

// EachAllocated calls f for each client account that has attempts.
func (reg *Registry) EachAllocated(f func(account string)) {
	for account := range reg.allocated {
		f(account)
	}
}

// RemoveAttempt records that an attempt no longer exists: it never started, ended or was lost with
// its worker. It reports whether its checkpoint is now the task's, so that it is to be persisted.
func (reg *Registry) RemoveAttempt(a *Attempt) (checkpointKept bool) {
	t := a.Task
	at := slices.Index(t.Attempts, a)
	if at >= 0 {
		t.Attempts = slices.Delete(t.Attempts, at, at+1)
		reg.releaseResources(t)
	}
	return t.KeepCheckpoint(a)
}

// releaseResources updates the counts and the account's allocation after an attempt was removed.
func (reg *Registry) releaseResources(t *Task) {
	if len(t.Attempts) == 0 && !t.Done {
		t.Step.attempted--
	}
	account := t.Step.Job.Account
	left := reg.allocated[account].Sub(t.Step.Spec.Needs)
	if left == (platform.Resources{}) {
		delete(reg.allocated, account)
		return
	}
	reg.allocated[account] = left
}

// Effect describes the consequences of an attempt's end.
type Effect struct {
	MustPersist bool       // the job's progress must be persisted before the end is acknowledged
	Surplus     []*Attempt // speculative copies that are no longer needed
	JobEnded    bool
}

// EndAttempt records that an attempt ended; a is nil if the registry does not know the attempt.
// The same end may be reported again, also to a later owner.
func (reg *Registry) EndAttempt(t *Task, a *Attempt, number int64, reason platform.EndReason, checkpoint string) (e Effect) {
	origin := CheckpointOrigin{Attempt: number}
	if a != nil {
		origin = a.origin()
		e.MustPersist = reg.RemoveAttempt(a)
	}
	j := t.Step.Job
	if t.Done || j.State.Final() {
		return Effect{}
	}
	if t.keepCheckpoint(checkpoint, origin) {
		e.MustPersist = true
	}
	switch reason {
	case platform.EndDone:
		e.MustPersist = true
		reg.markDone(t, &e)
	case platform.EndFailed:
		counted := reg.recordFailure(t, number)
		e.MustPersist = e.MustPersist || counted
	}
	if j.State.Final() {
		e.JobEnded = true
		reg.finalInActive++
	}
	return e
}

func (reg *Registry) markDone(t *Task, e *Effect) {
	s := t.Step
	if s.Spec.LongRunning {
		return // it is restarted
	}
	if s.Spec.Gang {
		for _, m := range s.Tasks { // the gang completes as a whole
			s.Job.finishTask(m)
		}
		return
	}
	s.Job.finishTask(t)
	e.Surplus = append(e.Surplus, t.Attempts...)
}

// recordFailure counts a failed attempt. It reports false if the attempt was counted before.
func (reg *Registry) recordFailure(t *Task, number int64) bool {
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

// MarkAllReported records that every worker that may run tasks of restored jobs has reported.
func (reg *Registry) MarkAllReported() {
	reg.All(func(j *Job) { j.allReported = true })
}

// Fail fails a job that cannot continue. It reports whether the job was active before.
func (reg *Registry) Fail(j *Job) bool { return reg.setFinal(j, StateFailed) }

// Cancel cancels a job. It reports whether the job was active before.
func (reg *Registry) Cancel(j *Job) bool { return reg.setFinal(j, StateCancelled) }

func (reg *Registry) setFinal(j *Job, state State) bool {
	if j.State.Final() {
		return false
	}
	j.State = state
	reg.finalInActive++
	return true
}
