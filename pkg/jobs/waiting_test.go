package jobs_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// TestWaiting has attempts begin, be lost and end in any order: the count of waiting
// tasks of a step is always that of its tasks that are neither done nor at a worker.
func TestWaiting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := jobs.NewRegistry(1)
		b.Add("j", jobs.Record{MaxAttempts: 2, Spec: jobs.Spec{Steps: []jobs.Step{
			{Count: 3}, {Count: 2, Speculative: true}, {Count: 2, LongRunning: true}, {Count: 2, Gang: true},
		}}}, 0)
		steps := b.Job("j").Steps
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			s := rapid.SampledFrom(steps).Draw(t, "step")
			task := rapid.SampledFrom(s.Tasks).Draw(t, "task")
			move(t, b, s, task)
			check(t, steps)
		}
	})
}

// move begins, loses or ends an attempt.
func move(t *rapid.T, b *jobs.Registry, s *jobs.StepRun, task *jobs.Task) {
	if len(task.Attempts) == 0 {
		switch {
		case task.Done:
		case s.Spec.Gang:
			if s.CountWaiting() == len(s.Tasks) {
				b.StartGang(s, []string{"w", "w"}, 0)
			}
		default:
			b.StartAttempt(task, "w", 0)
		}
		return
	}
	a := task.Attempts[0]
	switch rapid.SampledFrom([]string{"drop", "done", "failed", "copy"}).Draw(t, "what") {
	case "drop":
		b.RemoveAttempt(a)
	case "done":
		b.EndAttempt(task, a, a.Number, platform.EndDone, "")
	case "failed":
		b.EndAttempt(task, a, a.Number, platform.EndFailed, "")
	case "copy":
		b.StartAttempt(task, "w2", 0)
	}
}

func check(t *rapid.T, steps []*jobs.StepRun) {
	for _, s := range steps {
		idle := 0
		for _, task := range s.Tasks {
			if task.Idle() {
				idle++
			}
		}
		if s.CountWaiting() != idle {
			t.Fatalf("step %d counts %d waiting tasks, there are %d", s.Index, s.CountWaiting(), idle)
		}
	}
}
