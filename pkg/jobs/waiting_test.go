package jobs_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// CountIdle matches a count of the idle tasks after any sequence of starts, losses and ends.
func TestWaiting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reg := jobs.NewRegistry(1)
		reg.Add("j", jobs.Record{MaxAttempts: 2, Spec: jobs.Spec{Steps: []jobs.Step{
			{Count: 3}, {Count: 2, Speculative: true}, {Count: 2, LongRunning: true}, {Count: 2, Gang: true},
		}}}, 0)
		steps := reg.Job("j").Steps
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			s := rapid.SampledFrom(steps).Draw(t, "step")
			task := rapid.SampledFrom(s.Tasks).Draw(t, "task")
			changeAttempt(t, reg, s, task)
			checkWaiting(t, steps)
		}
	})
}

// changeAttempt starts, removes or ends an attempt.
func changeAttempt(t *rapid.T, reg *jobs.Registry, s *jobs.StepRun, task *jobs.Task) {
	if len(task.Attempts) == 0 {
		switch {
		case task.Done:
		case s.Spec.Gang:
			if s.CountIdle() == len(s.Tasks) {
				reg.StartGang(s, []string{"w", "w"}, 0)
			}
		default:
			reg.StartAttempt(task, "w", 0)
		}
		return
	}
	a := task.Attempts[0]
	switch rapid.SampledFrom([]string{"drop", "done", "failed", "copy"}).Draw(t, "what") {
	case "drop":
		reg.RemoveAttempt(a)
	case "done":
		reg.EndAttempt(task, a, a.Number, platform.EndDone, "")
	case "failed":
		reg.EndAttempt(task, a, a.Number, platform.EndFailed, "")
	case "copy":
		reg.StartAttempt(task, "w2", 0)
	}
}

func checkWaiting(t *rapid.T, steps []*jobs.StepRun) {
	for _, s := range steps {
		idle := 0
		for _, task := range s.Tasks {
			if task.Idle() {
				idle++
			}
		}
		if s.CountIdle() != idle {
			t.Fatalf("step %d: CountIdle is %d, want %d", s.Index, s.CountIdle(), idle)
		}
	}
}
