package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestCheckpoints runs the scripts of testdata: which of the checkpoints that attempts report and end
// with a task keeps, and which one its next attempt starts from.
func TestCheckpoints(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &checkpointScript{t: t}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

// checkpointScript is a job of one step and the attempts of its tasks.
type checkpointScript struct {
	t        *testing.T
	reg      *Registry
	attempts []*Attempt // in order of their starts
}

// checkpointJob is the ID of the job.
const checkpointJob = "0000000000000001"

func (s *checkpointScript) step() *StepRun { return s.reg.Job(checkpointJob).Steps[0] }

func (s *checkpointScript) run(d *datadriven.TestData) string {
	var number, task, percent int
	var checkpoint, reason string
	d.MaybeScanArgs(s.t, "task", &task)
	d.MaybeScanArgs(s.t, "percent", &percent)
	d.MaybeScanArgs(s.t, "saved", &checkpoint)
	d.MaybeScanArgs(s.t, "reason", &reason)
	var a *Attempt
	if d.MaybeScanArgs(s.t, "attempt", &number) {
		a = s.attempts[number-1]
	}
	switch d.Cmd {
	case "job":
		spec := Step{Count: 1, LongRunning: d.HasArg("long"), Speculative: d.HasArg("copies"), Gang: d.HasArg("gang"), Checkpointing: true}
		d.MaybeScanArgs(s.t, "tasks", &spec.Count)
		s.reg, s.attempts = NewRegistry(1), nil
		s.reg.Add(checkpointJob, Record{MaxAttempts: 3, Spec: Spec{Steps: []Step{spec}}}, 0)
		return ""
	case "start":
		a := s.reg.StartAttempt(s.step().Tasks[task], "w", 0)
		s.attempts = append(s.attempts, a)
		return fmt.Sprintf("attempt %d from %q\n", len(s.attempts), a.ResumeFrom)
	case "start-gang":
		return s.startGang()
	case "find":
		s.attempts[number-1] = s.reg.Adopt(s.step().Tasks[a.Task.Index], a.Number, "w", 0)
		return ""
	case "report":
		a.Percent, a.Checkpoint = percent, checkpoint
		return ""
	case "lose":
		return fmt.Sprintf("to persist: %v\n", s.reg.RemoveAttempt(a))
	case "end":
		known := a
		if !slices.Contains(a.Task.Attempts, a) {
			known = nil // lost before
		}
		e := s.reg.EndAttempt(s.step().Tasks[a.Task.Index], known, a.Number, platform.EndReason(reason), checkpoint)
		return fmt.Sprintf("to persist: %v\n", e.MustPersist)
	case "takeover":
		return s.takeOver()
	case "checkpoint":
		return s.step().Tasks[task].Checkpoint + "\n"
	}
	s.t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

func (s *checkpointScript) startGang() string {
	var out strings.Builder
	for _, a := range s.reg.StartGang(s.step(), make([]string, len(s.step().Tasks)), 0) {
		s.attempts = append(s.attempts, a)
		fmt.Fprintf(&out, "attempt %d from %q\n", len(s.attempts), a.ResumeFrom)
	}
	return out.String()
}

// takeOver restores the job from its persisted progress. Its attempts are gone, but may still end.
func (s *checkpointScript) takeOver() string {
	j, rows := roundTrip(s.t, s.reg.Job(checkpointJob))
	reg := NewRegistry(2)
	reg.insert(j)
	s.reg = reg
	return fmt.Sprintf("%d rows\n", len(rows))
}

// TestCheckpointOriginsInChunks checks that each checkpoint keeps its origin when the progress takes
// several rows.
func TestCheckpointOriginsInChunks(t *testing.T) {
	reg := NewRegistry(1)
	reg.Add(checkpointJob, Record{MaxAttempts: 3, Spec: Spec{Steps: []Step{{Count: 200, Checkpointing: true}}}}, 0)
	for i, task := range reg.Job(checkpointJob).Steps[0].Tasks {
		a := reg.StartAttempt(task, "w", 0)
		a.Percent, a.Checkpoint = i%100, strings.Repeat("c", 1000)
		reg.RemoveAttempt(a)
	}
	again, rows := roundTrip(t, reg.Job(checkpointJob))
	qt.Assert(t, len(rows) > 1, qt.IsTrue)
	for i, task := range again.Steps[0].Tasks {
		qt.Assert(t, task.checkpointOrigin, qt.Equals, reg.Job(checkpointJob).Steps[0].Tasks[i].checkpointOrigin)
	}
}

// TestOverlongCheckpointCostsItselfAlone guards against losing all checkpoints of a job because one of
// them doesn't fit into a row, or because together they exceed the rows of the job.
func TestOverlongCheckpointCostsItselfAlone(t *testing.T) {
	for name, tc := range map[string]struct {
		tasks, long int // number of tasks, and of those with a long checkpoint
		bytes       int // length of each long checkpoint
	}{
		"longer than a row":        {tasks: 5, long: 1, bytes: rowLimit + 1},
		"too many for the rows":    {tasks: 400, long: 200, bytes: 4000},
		"too many for one row":     {tasks: 32, long: 31, bytes: 4000},
		"fills a row by itself":    {tasks: 5, long: 1, bytes: rowLimit - 1},
		"all but one are overlong": {tasks: 33, long: 32, bytes: 2 * rowLimit},
	} {
		t.Run(name, func(t *testing.T) {
			reg := NewRegistry(1)
			reg.Add(checkpointJob, Record{MaxAttempts: 3, Spec: Spec{Steps: []Step{{Count: tc.tasks, Checkpointing: true}}}}, 0)
			for i, task := range reg.Job(checkpointJob).Steps[0].Tasks {
				a := reg.StartAttempt(task, "w", 0)
				a.Checkpoint = "short"
				if i < tc.long {
					a.Checkpoint = strings.Repeat("c", tc.bytes)
				}
				reg.RemoveAttempt(a)
			}
			again, rows := roundTrip(t, reg.Job(checkpointJob))
			qt.Assert(t, len(rows) <= maxProgressRows, qt.IsTrue)
			for _, task := range again.Steps[0].Tasks[tc.long:] {
				qt.Assert(t, task.Checkpoint, qt.Equals, "short")
			}
		})
	}
}

// TestEarlierVersionPassesOverOrigins checks that versions that do not know origins read the progress, and
// that a checkpoint which they stored gives way to any later one.
func TestEarlierVersionPassesOverOrigins(t *testing.T) {
	p := Progress{Steps: []StepProgress{{Checkpoints: map[int]string{0: "a"}, CheckpointOrigins: map[int]CheckpointOrigin{0: {Attempt: 5}}}}}
	raw, err := p.marshal()
	qt.Assert(t, err, qt.IsNil)
	var old struct {
		Steps []struct {
			Checkpoints map[int]string `msgpack:"c,omitempty"`
		} `msgpack:"p,omitempty"`
	}
	qt.Assert(t, msgpack.Unmarshal(raw, &old), qt.IsNil)
	qt.Assert(t, old.Steps[0].Checkpoints, qt.DeepEquals, map[int]string{0: "a"})
	qt.Assert(t, CheckpointOrigin{Attempt: 1}.supersedes(CheckpointOrigin{}, false), qt.IsTrue)
}
