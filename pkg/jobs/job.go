package jobs

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/blame"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// State is the state of a job as callers see it.
type State string

// The states of jobs.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final tells whether a job in this state has nothing more to do.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Job is a job and how far it has come.
type Job struct {
	ID string
	Record
	Steps    []*StepRun    // of the occurrences that are laid out, those of one together and in order
	State    State         // what has happened, may not be kept yet
	PersistedState     State         // the last state that is kept, which callers may be told
	Started    bool          // a task has started at some time
	AddedAt  time.Duration // on the owner's clock; before its start for a job of a former owner
	Restored bool          // it was kept by a former owner

	evidence     int // changes of what speaks against tasks
	evidenceKept int // of those, the last one that is kept
	parts        int // rows that its progress may take up

	open     []*occurrence // that are laid out, by number
	next     int           // occurrences from here on are laid out once they are due
	finished spans         // occurrences whose tasks are all done

	leftOver platform.Resources // what attempts of a final job may have taken when a former owner kept it
	over     bool               // a former owner kept that it is final
	seen     bool               // its present owner has heard all workers that may have its tasks
}

// StepRun is a step of one occurrence.
type StepRun struct {
	Job        *Job
	Spec       *Step
	Occurrence int
	Index      int
	Tasks      []*Task
	GangFailed []int64 // numbers of the runs of the whole gang that failed
	BrokenRun  int64   // number of the last run of the gang that a start failed of

	of       *occurrence
	blockers int // unfinished steps that it waits for
	done     int
	held     int // tasks that are not done and have an attempt
	waiters  []*StepRun
}

// Task is one task and its attempts that may be at workers.
type Task struct {
	Step       *StepRun
	Index      int
	Done       bool
	Failed     []int64 // numbers of the attempts that failed by their own or a worker's fault
	Checkpoint string
	Attempts   []*Attempt
	Duration       time.Duration // of the attempt that was done
	WantsCopy  bool          // another attempt is to start beside the one that runs
	Losses     blame.Losses  // workers that were lost with it, as long as it is not cleared
	Replaced   int           // attempts that were given up as too slow, by this owner
	PossibleWorkers    int           // workers not heard since the takeover where an attempt may be

	lastAttempt int64
	name        string
}

// Phase is how far an attempt has come.
type Phase string

// The phases of attempts.
const (
	PhaseOrdered Phase = "ordered" // the order is on its way
	PhaseRunning Phase = "running"
	PhaseStopped Phase = "stopped" // its end was ordered, its resources are not free yet
	PhaseInDoubt Phase = "doubt"   // the order got no answer
)

// Attempt is an attempt that is or may be at a worker.
type Attempt struct {
	Task       *Task
	Number     int64
	Boot       string
	Phase      Phase
	OrderedAt      time.Duration // when it was ordered
	ProgressAt time.Duration // when Percent last rose
	Percent    int
	Load       int
	Checkpoint string
}

// Name returns the name that workers know the task by.
func (t *Task) Name() string {
	if t.name == "" {
		t.name = TaskID{Job: t.Step.Job.ID, Occurrence: t.Step.Occurrence, Step: t.Step.Index, Index: t.Index}.String()
	}
	return t.name
}

// Idle tells whether the task is neither done nor at a worker.
func (t *Task) Idle() bool { return !t.Done && len(t.Attempts) == 0 }

// Ready tells whether the step's predecessors are done.
func (s *StepRun) Ready() bool { return s.blockers == 0 }

// Finished tells whether each task is done.
func (s *StepRun) Finished() bool { return s.done == len(s.Tasks) }

// CountWaiting counts the tasks that are neither done nor at a worker.
func (s *StepRun) CountWaiting() int { return len(s.Tasks) - s.done - s.held }

// Due is when the step's occurrence may start, in Unix time; 0 for at once.
func (s *StepRun) Due() time.Duration {
	return s.Job.Spec.due(s.Occurrence)
}

// finishTask marks a task done and releases the steps that waited for its step.
func (j *Job) finishTask(t *Task) {
	if t.Done {
		return
	}
	t.Done = true
	t.Step.done++
	if len(t.Attempts) > 0 {
		t.Step.held--
	}
	if !t.Step.Finished() {
		return
	}
	for _, s := range t.Step.waiters {
		s.blockers--
	}
	j.finishStep(t.Step.of)
}

// visible is the state that follows from what has begun.
func (j *Job) visible() State {
	switch {
	case j.State.Final():
		return j.State
	case j.Started:
		return StateRunning
	default:
		return StateQueued
	}
}

// eachAttempt calls f for each attempt of the job's tasks.
func (j *Job) eachAttempt(f func(*Attempt)) {
	for _, s := range j.Steps {
		for _, t := range s.Tasks {
			for _, a := range slices.Clone(t.Attempts) {
				f(a)
			}
		}
	}
}

// outstanding is what the attempts of the job's tasks take, or may take unseen.
func (j *Job) outstanding() platform.Resources {
	sum := j.Unconfirmed()
	j.eachAttempt(func(a *Attempt) { sum = sum.Add(a.Task.Step.Spec.Needs) })
	return sum
}

// Unconfirmed is what tasks of a restored job may take at workers that its present owner has
// not heard yet. A former owner may have started tasks of steps whose predecessors are
// not known to be done, since ends are kept after what follows has been started.
// A job that its present owner has ended meanwhile counts as one that goes on: the tasks of a
// cancelled one were not counted, and its account had 4000 of 3000 thousandths of a core running
// (testdata/limit_counts_cancelled).
func (j *Job) Unconfirmed() (sum platform.Resources) {
	switch {
	case !j.Restored || j.seen:
		return sum
	case j.over:
		return j.leftOver
	}
	for _, s := range j.Steps {
		for _, t := range s.Tasks {
			if t.Idle() || s.Spec.Speculative && len(t.Attempts) < 2 {
				sum = sum.Add(s.Spec.Needs)
			}
		}
	}
	return sum
}
