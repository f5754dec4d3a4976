package shard

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// A load looks for room for a bounded number of tasks.
func TestUnplacedTasksBounded(t *testing.T) {
	c := qt.New(t)
	var h unplacedTasks
	h.add(&jobs.StepRun{Spec: &jobs.Step{}}, 3) // finite tasks wait for room, but hold none
	c.Check(h, qt.HasLen, 0)
	step := &jobs.StepRun{Spec: &jobs.Step{LongRunning: true}}
	h.add(step, 3)
	c.Check(h, qt.HasLen, 3)
	h.add(step, 5*maxUnplacedTasks)
	c.Check(h, qt.HasLen, maxUnplacedTasks)
	h.add(step, 1)
	c.Check(h, qt.HasLen, maxUnplacedTasks)
}
