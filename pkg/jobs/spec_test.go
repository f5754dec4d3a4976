package jobs

import (
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLaidOutBytes guards against jobs that take much more memory than is reserved for them.
func TestLaidOutBytes(t *testing.T) {
	const kept = 50 // jobs
	for name, spec := range map[string]Spec{
		"many tasks":  {Steps: []Step{{Count: maxTasks}}},
		"many steps":  {Steps: make([]Step, MaxSteps)},
		"on schedule": {Steps: []Step{{Count: 1}}, Times: 1e6, Interval: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range spec.Steps {
				spec.Steps[i].Count = max(1, spec.Steps[i].Count)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var all []*Job
			for range kept {
				j := newJob("j", Record{Spec: spec}, 0)
				j.Advance(time.Hour)
				all = append(all, j)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			taken := (int(after.HeapAlloc) - int(before.HeapAlloc)) / kept
			reserved := spec.LaidOutBytes()
			t.Logf("%d bytes taken, %d reserved", taken, reserved)
			qt.Check(t, taken < reserved*3/2, qt.IsTrue)
			qt.Check(t, reserved < 4*taken, qt.IsTrue)
			runtime.KeepAlive(all)
		})
	}
}
