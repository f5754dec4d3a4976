package jobs

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quarantine"
)

// State is the state of a job as reported to callers.
type State string

// The states of jobs.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the job has ended.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Job is a job and its execution state.
type Job struct {
	ID string
	Record
	Steps         []*StepRun    // of all expanded occurrences, ordered by occurrence and step
	State         State         // current state, possibly not persisted yet
	ReportedState State         // the state reported to callers: persisted, or derivable by a new owner
	Started       bool          // a task has started
	AddedAt       time.Duration // on the owner's clock; negative if accepted before that clock started
	Restored      bool          // a former owner persisted it

	lossesVersion   int // number of changes to the losses of its tasks
	lossesPersisted int // version of the losses that is persisted
	progressRows    int // rows that its progress may occupy

	expanded       []*occurrence // by number
	nextOccurrence int           // the first one to expand next
	finished       rangeSet      // numbers of occurrences whose tasks are all done

	restoredUsage platform.Resources // of attempts of a final job, as persisted by a former owner
	restoredFinal bool               // it was final when restored
	allReported   bool               // every worker that may run its tasks has reported to the present owner
}

// StepRun is the execution of a step, its Spec, within one occurrence.
type StepRun struct {
	Job        *Job
	Spec       *Step
	Occurrence int
	Index      int
	Tasks      []*Task
	GangFailed []int64 // attempt numbers of the gang runs that failed
	BrokenRun  int64   // attempt number of the last gang run in which a start failed

	occurrence  *occurrence
	pendingDeps int // unfinished steps that it depends on
	done        int // finished tasks
	attempted   int // unfinished tasks that have an attempt
	dependents  []*StepRun
}

// Task is one task of a step and its current attempts.
type Task struct {
	Step            *StepRun
	Index           int
	Done            bool
	Failed          []int64 // numbers of failed attempts
	Checkpoint      string  // to resume from, of the attempts that ended or were lost
	Attempts        []*Attempt
	Duration        time.Duration     // of the successful attempt
	CopyRequested   bool              // a speculative copy is to be started
	Losses          quarantine.Losses // worker losses attributed to it, until it is cleared
	Replaced        int               // attempts replaced as stragglers by this owner
	PossibleWorkers int               // workers that may run it but have not reported since the takeover

	lastAttempt      int64            // greatest attempt number so far
	checkpointOrigin CheckpointOrigin // of Checkpoint
	name             string           // cached by Name
}

// Phase is the state of an attempt.
type Phase string

// The phases of attempts.
const (
	PhaseOrdered Phase = "ordered" // the order is in flight
	PhaseRunning Phase = "running"
	PhaseStopped Phase = "stopped" // its stop was ordered, its resources are not free yet
	PhaseInDoubt Phase = "doubt"   // the order was not answered
)

// Attempt is an execution of a task that is or may be at a worker.
type Attempt struct {
	Task       *Task
	Number     int64
	Boot       string // of the worker: identifies one boot of its VM
	Phase      Phase
	OrderedAt  time.Duration // on the owner's clock
	ProgressAt time.Duration // when Percent last increased
	Percent    int           // of the task that is done
	Load       int           // as last reported, see platform.RunningAttempt
	Checkpoint string        // the latest one reported
	ResumeFrom string        // checkpoint that it starts from, empty to start over

	resumedPercent int // of the task that ResumeFrom has done, 0 if unknown
}

// Name returns the name that workers identify the task by.
func (t *Task) Name() string {
	if t.name == "" {
		t.name = TaskID{Job: t.Step.Job.ID, Occurrence: t.Step.Occurrence, Step: t.Step.Index, Index: t.Index}.String()
	}
	return t.name
}

// Idle reports whether the task is not done and has no attempt.
func (t *Task) Idle() bool { return !t.Done && len(t.Attempts) == 0 }

// Ready reports whether all steps that it depends on are finished.
func (s *StepRun) Ready() bool { return s.pendingDeps == 0 }

// Finished reports whether all tasks are done.
func (s *StepRun) Finished() bool { return s.done == len(s.Tasks) }

// CountIdle returns the number of idle tasks, see [Task.Idle].
func (s *StepRun) CountIdle() int { return len(s.Tasks) - s.done - s.attempted }

// Due returns when the step's occurrence may start, as the time since the Unix epoch, or 0 for
// immediately.
func (s *StepRun) Due() time.Duration {
	return s.Job.Spec.due(s.Occurrence)
}

// finishTask marks a task done. If that finishes its step, it unblocks dependent steps.
func (j *Job) finishTask(t *Task) {
	if t.Done {
		return
	}
	t.Done = true
	t.Step.done++
	if len(t.Attempts) > 0 {
		t.Step.attempted--
	}
	if !t.Step.Finished() {
		return
	}
	for _, s := range t.Step.dependents {
		s.pendingDeps--
	}
	j.finishStep(t.Step.occurrence)
}

// derivedState returns the state that follows from the job's tasks.
func (j *Job) derivedState() State {
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

// usage returns the resources that the job's attempts use or may use.
func (j *Job) usage() platform.Resources {
	sum := j.Unconfirmed()
	j.eachAttempt(func(a *Attempt) { sum = sum.Add(a.Task.Step.Spec.Needs) })
	return sum
}

// Unconfirmed returns the resources that tasks of a restored job may use at workers that have not
// reported yet. Steps with unfinished dependencies count too: a former owner may have started them
// before the end of the dependency was persisted. So does a job that the present owner has ended:
// its tasks may still run.
func (j *Job) Unconfirmed() (sum platform.Resources) {
	switch {
	case !j.Restored || j.allReported:
		return sum
	case j.restoredFinal:
		return j.restoredUsage
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
