package jobs_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestFailedEndPersistsCheckpoint guards against losing the checkpoint of a failed long-running task
// when its owner is replaced: the end must be stored before it is acknowledged.
func TestFailedEndPersistsCheckpoint(t *testing.T) {
	reg := jobs.NewRegistry(1)
	reg.Add("j", jobs.Record{MaxAttempts: 2, Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, LongRunning: true, Checkpointing: true}}}}, 0)
	task := reg.Job("j").Steps[0].Tasks[0]
	a := reg.StartAttempt(task, "w", 0)
	effect := reg.EndAttempt(task, a, a.Number, platform.EndFailed, "cp")
	qt.Assert(t, task.Checkpoint, qt.Equals, "cp")
	qt.Check(t, effect.MustPersist, qt.IsTrue)
}
