package jobs

import "github.com/gannetwell/gannetwell/pkg/quarantine"

// SetLosses sets the worker losses attributed to a task. They must be persisted before the task is
// started on trial, so that a new owner counts it.
func (t *Task) SetLosses(ls quarantine.Losses) {
	t.Losses = ls
	t.Step.Job.lossesVersion++
}

// Restriction returns where the task may start, given the worker losses attributed to it.
func (t *Task) Restriction() quarantine.Restriction { return t.Losses.Restriction() }

// Suspect reports whether the task is restricted in where it may start.
func (t *Task) Suspect() bool { return len(t.Losses) > 0 && t.Restriction() != quarantine.Unrestricted }

// Restriction returns where the step's tasks may start together: the strictest restriction of
// its tasks.
func (s *StepRun) Restriction() quarantine.Restriction {
	worst := quarantine.Unrestricted
	for _, t := range s.Tasks {
		worst = quarantine.Stricter(worst, t.Restriction())
	}
	return worst
}

// LossesVersion counts the changes to the losses of the job's tasks.
func (j *Job) LossesVersion() int { return j.lossesVersion }

// MarkLossesPersisted records that the losses are persisted up to version n.
func (j *Job) MarkLossesPersisted(n int) { j.lossesPersisted = max(j.lossesPersisted, n) }

// LossesPersisted reports whether the losses are persisted at least up to version n.
func (j *Job) LossesPersisted(n int) bool { return j.lossesPersisted >= n }
