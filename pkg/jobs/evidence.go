package jobs

import "github.com/gannetwell/gannetwell/pkg/blame"

// SetLosses notes what speaks against a task; it has to be kept before the task may be
// started on trial.
func (t *Task) SetLosses(ls blame.Losses) {
	t.Losses = ls
	t.Step.Job.evidence++
}

// Verdict tells how the task may be started, by the workers that were lost with it.
func (t *Task) Verdict() blame.Verdict { return t.Losses.Verdict() }

// Suspect tells whether the task may not start just anywhere.
func (t *Task) Suspect() bool { return len(t.Losses) > 0 && t.Verdict() != blame.Clear }

// Verdict tells how the step's tasks may be started together: as the worst of them may.
func (s *StepRun) Verdict() blame.Verdict {
	worst := blame.Clear
	for _, t := range s.Tasks {
		worst = blame.Worse(worst, t.Verdict())
	}
	return worst
}

// EvidenceVersion counts the changes of what speaks against the job's tasks.
func (j *Job) EvidenceVersion() int { return j.evidence }

// MarkEvidencePersisted notes that the changes up to a number are kept.
func (j *Job) MarkEvidencePersisted(n int) { j.evidenceKept = max(j.evidenceKept, n) }

// EvidencePersisted tells whether a next owner would know what spoke against the job's tasks when
// Evidence was n.
func (j *Job) EvidencePersisted(n int) bool { return j.evidenceKept >= n }
