package jobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quarantine"
)

// rowLimit is the maximum row length in these tests, in bytes.
const rowLimit = 65_536

// fataler is the part of testing.T that rapid.T shares.
type fataler interface {
	Fatalf(format string, args ...any)
}

// roundTrip encodes a job's progress and restores the job from it.
func roundTrip(t fataler, j *Job) (again *Job, rows [][]byte) {
	rows, err := j.Progress().Encode(rowLimit)
	if err != nil {
		t.Fatalf("%v", err)
	}
	var read []Progress
	for _, raw := range rows {
		p, err := DecodeProgress(raw)
		if err != nil || len(raw) > rowLimit {
			t.Fatalf("a row of %d bytes: %v", len(raw), err)
		}
		read = append(read, p)
	}
	if err := read[0].Join(read[1:]); err != nil {
		t.Fatalf("%v", err)
	}
	reg := NewRegistry(2)
	reg.Restore(j.ID, j.Record, read[0], 0)
	return reg.Job(j.ID), rows
}

// The progress of a job with the maximum number of tasks fits into its rows, and no completed task
// or failed attempt is lost.
func TestProgressOfWideJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Record{MaxAttempts: 3, Spec: Spec{Steps: []Step{{Count: maxTasks - 8}, {Count: 8, Gang: true}}}}
		reg := NewRegistry(1)
		reg.Add("0000000000000001", r, 0)
		j := reg.Job("0000000000000001")
		checkpoint := rapid.SampledFrom([]int{0, 1, 16, 600}).Draw(t, "checkpoint")
		losses := rapid.IntRange(0, 5).Draw(t, "losses")
		every := rapid.IntRange(1, 50).Draw(t, "every")
		for i, task := range j.Steps[0].Tasks {
			switch {
			case i%every == 0:
				j.finishTask(task)
			case i%every == 1:
				task.Failed = []int64{1<<40 + int64(i), 1<<40 + int64(i) + 1}
				for n := range losses {
					task.Losses = append(task.Losses, quarantine.Loss{Attempt: 1 << 40, Boot: fmt.Sprintf("i-%010d@1764742223000", n), Ran: time.Hour, Ended: true, Delivered: true})
				}
			default:
				task.Checkpoint = string(make([]byte, checkpoint))
			}
		}
		j.Steps[1].GangFailed = []int64{1 << 40}
		again, rows := roundTrip(t, j)
		if len(rows) > maxProgressRows {
			t.Fatalf("%d rows", len(rows))
		}
		for i, task := range j.Steps[0].Tasks {
			got := again.Steps[0].Tasks[i]
			if got.Done != task.Done || len(got.Failed) != len(task.Failed) {
				t.Fatalf("task %d: done %v, failed %v, want %v, %v", i, got.Done, got.Failed, task.Done, task.Failed)
			}
		}
		if len(again.Steps[1].GangFailed) != 1 {
			t.Fatalf("the failed gang run was lost")
		}
	})
}

// Incomplete progress is rejected.
func TestMissingRowIsRejected(t *testing.T) {
	p := Progress{Rows: 3}
	qt.Check(t, p.Join([]Progress{{}}), qt.IsNotNil)
	qt.Check(t, p.Join([]Progress{{}, {}}), qt.IsNil)
}

// Rows left over from larger progress are counted, so that they are removed with the job, and
// their content is ignored.
func TestStaleRowsAreCounted(t *testing.T) {
	c := qt.New(t)
	stale := Progress{Steps: []StepProgress{{Done: []byte{1}}}}
	for _, p := range []Progress{{State: StateCompleted}, {Rows: 2}, {}} {
		further := []Progress{stale, stale, stale}
		if p.Rows > 1 {
			further[0] = Progress{}
		}
		c.Assert(p.Join(further), qt.IsNil)
		c.Check(p.Steps, qt.HasLen, 0)
		reg := NewRegistry(2)
		reg.Restore("j", Record{Spec: Spec{Steps: []Step{{Count: 1}}}}, p, 0)
		c.Check(reg.Job("j").ProgressRows(), qt.Equals, 4)
	}
}

// oldProgress is the format of versions that do not know Finished and Rows.
type oldProgress struct {
	State State          `msgpack:"s,omitempty"`
	Steps []StepProgress `msgpack:"p,omitempty"`
}

// Earlier versions must fail to decode progress with fields they do not know, and decode all other
// progress.
func TestEarlierVersionRejectsNewProgress(t *testing.T) {
	c := qt.New(t)
	var old oldProgress
	for _, p := range []Progress{{Finished: rangeSet{0, 3}}, {Rows: 2}} {
		raw, err := p.marshal()
		c.Assert(err, qt.IsNil)
		c.Check(msgpack.Unmarshal(raw, &old), qt.IsNotNil)
	}
	plain := Progress{State: StateCompleted, Steps: []StepProgress{{StepNumber: 1, Done: []byte{3}}}}
	raw, err := plain.marshal()
	c.Assert(err, qt.IsNil)
	c.Assert(msgpack.Unmarshal(raw, &old), qt.IsNil)
	c.Check(old.Steps, qt.HasLen, 1)
}

// Each occurrence of a scheduled job is expanded when due and finished exactly once across
// takeovers, and the number of expanded tasks stays bounded.
func TestOccurrences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SampledFrom([]int{1, 3, 40, 10_000_000}).Draw(t, "times")
		r := Record{MaxAttempts: 3, Spec: Spec{
			Times: times, Interval: time.Duration(rapid.SampledFrom([]int{0, 100, 5000}).Draw(t, "interval")) * time.Millisecond,
			Steps: []Step{{Count: 2}, {Count: rapid.SampledFrom([]int{1, 3000}).Draw(t, "count"), After: []int{0}}},
		}}
		reg := NewRegistry(1)
		reg.Add("j", r, 0)
		j := reg.Job("j")
		done := map[int]bool{}
		var wall time.Duration
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			wall += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			j.Advance(wall)
			if n := len(j.expanded) * r.Spec.tasks(); n > max(maxExpandedTasks, r.Spec.tasks()) {
				t.Fatalf("%d tasks are expanded", n)
			}
			for _, s := range j.Steps {
				if done[s.Occurrence] && !s.Finished() {
					t.Fatalf("occurrence %d was expanded again after it finished", s.Occurrence)
				}
				if s.Due() <= wall && s.Ready() && rapid.Bool().Draw(t, "ends") {
					finishStep(reg, s, done)
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "takeover") == 0 && !j.State.Final() {
				j, _ = roundTrip(t, j)
				reg = NewRegistry(2)
				reg.insert(j)
			}
			if j.State == StateCompleted != (len(done) == times) {
				t.Fatalf("the job is %s with %d of %d occurrences done", j.State, len(done), times)
			}
		}
	})
}

// finishStep completes all tasks of a step.
func finishStep(reg *Registry, s *StepRun, done map[int]bool) {
	for _, task := range s.Tasks {
		if !task.Done {
			a := reg.StartAttempt(task, "w", 0)
			reg.EndAttempt(task, a, a.Number, platform.EndDone, "")
		}
	}
	if s.Index == 1 {
		done[s.Occurrence] = true
	}
}

// Memory does not grow with the number of scheduled occurrences.
func TestManyOccurrencesMemory(t *testing.T) {
	c := qt.New(t)
	r := Record{MaxAttempts: 3, Spec: Spec{Times: 10_000_000, Interval: time.Second, Steps: []Step{{Count: 1}}}}
	allocated := testing.AllocsPerRun(1, func() {
		reg := NewRegistry(1)
		reg.Add("j", r, 0)
		reg.Job("j").Advance(time.Minute)
	})
	c.Check(allocated < 1000, qt.IsTrue, qt.Commentf("%v allocations", allocated))
}
