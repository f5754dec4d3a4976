package jobs

// CheckpointOrigin is what orders the checkpoints of a task, whose texts are opaque.
type CheckpointOrigin struct {
	Attempt int64 `msgpack:"a"`           // number of the attempt that saved it, 0 if unknown
	Percent int   `msgpack:"p,omitempty"` // of the task that was done at least, 0 if unknown
}

// supersedes reports whether a checkpoint holds at least the work of an earlier one of its task. A later
// attempt holds more, since it started from the checkpoint known then. Copies start beside each other,
// so their percentages decide as far as known.
func (c CheckpointOrigin) supersedes(other CheckpointOrigin, copies bool) bool {
	if c.Attempt == other.Attempt {
		return c.Percent == 0 || c.Percent >= other.Percent
	}
	if copies && c.Percent > 0 && other.Percent > 0 && c.Percent != other.Percent {
		return c.Percent > other.Percent
	}
	return c.Attempt > other.Attempt
}

// exceeds reports whether a checkpoint is known to hold more work than that of another member of its gang.
// Members of one run make progress of their own, so that an unknown percentage counts for nothing.
func (c CheckpointOrigin) exceeds(other CheckpointOrigin, copies bool) bool {
	if c.Attempt == other.Attempt {
		return c.Percent > other.Percent
	}
	return c.supersedes(other, copies)
}

// KeepCheckpoint keeps the latest checkpoint that an attempt has reported, unless the task has one with
// more work. It reports whether the task's checkpoint has changed.
func (t *Task) KeepCheckpoint(a *Attempt) (changed bool) {
	return t.keepCheckpoint(a.Checkpoint, a.origin())
}

// keepCheckpoint keeps a checkpoint, empty for none, unless the task has one with more work or starts no
// more. It reports whether the task's checkpoint has changed.
func (t *Task) keepCheckpoint(text string, origin CheckpointOrigin) (changed bool) {
	if t.Done || t.Step.Job.State.Final() {
		return false
	}
	if text == "" || t.Checkpoint != "" && !origin.supersedes(t.checkpointOrigin, t.Step.Spec.Speculative) {
		return false
	}
	changed = text != t.Checkpoint
	t.Checkpoint, t.checkpointOrigin = text, origin
	return changed
}

// origin returns the origin of the checkpoints that the attempt saves. It has done at least the work
// that it started with. The percentage of a long-running task says nothing about its work.
func (a *Attempt) origin() CheckpointOrigin {
	if a.Task.Step.Spec.LongRunning {
		return CheckpointOrigin{Attempt: a.Number}
	}
	return CheckpointOrigin{Attempt: a.Number, Percent: max(a.Percent, a.resumedPercent)}
}

// resume makes an attempt start from a checkpoint.
func (a *Attempt) resume(text string, origin CheckpointOrigin) {
	a.ResumeFrom, a.resumedPercent = text, origin.Percent
}

// furthestCheckpoint returns the checkpoint of a gang's members that holds the most work, empty if
// none has one. All members start from the same one, which may be that of any member.
func (s *StepRun) furthestCheckpoint() (text string, origin CheckpointOrigin) {
	for _, t := range s.Tasks {
		if t.Checkpoint != "" && (text == "" || t.checkpointOrigin.exceeds(origin, s.Spec.Speculative)) {
			text, origin = t.Checkpoint, t.checkpointOrigin
		}
	}
	return text, origin
}
