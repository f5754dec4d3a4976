package jobs

import "github.com/gannetwell/gannetwell/pkg/quarantine"

// SetLosses sets the worker losses that are attributed to a task. They must be persisted before
// the task is started on trial.
func (t *Task) SetLosses(ls quarantine.Losses) {
	t.Losses = ls
	t.Step.Job.evidenceVersion++
}

// Verdict returns how the task may be started, given the workers that were lost while running it.
func (t *Task) Verdict() quarantine.Restriction { return t.Losses.Restriction() }

// Suspect reports whether the task is restricted in where it may start.
func (t *Task) Suspect() bool { return len(t.Losses) > 0 && t.Verdict() != quarantine.Unrestricted }

// Verdict returns how the step's tasks may be started together: the most restrictive verdict of
// its tasks.
func (s *StepRun) Verdict() quarantine.Restriction {
	worst := quarantine.Unrestricted
	for _, t := range s.Tasks {
		worst = quarantine.Stricter(worst, t.Verdict())
	}
	return worst
}

// EvidenceVersion counts the changes to the losses of the job's tasks.
func (j *Job) EvidenceVersion() int { return j.evidenceVersion }

// MarkEvidencePersisted records that the losses are persisted up to version n.
func (j *Job) MarkEvidencePersisted(n int) { j.evidencePersisted = max(j.evidencePersisted, n) }

// EvidencePersisted reports whether the losses are persisted at least up to version n.
func (j *Job) EvidencePersisted(n int) bool { return j.evidencePersisted >= n }
