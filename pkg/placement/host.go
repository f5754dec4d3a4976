package placement

import (
	"slices"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// maxRoom is the result of [Host.Room] for tasks that need no resources.
const maxRoom = 1 << 16

// Host is one boot of a worker, with the state that placement needs.
type Host struct {
	Boot     string
	Rack     string
	Labels   []string
	Capacity platform.Resources
	Free     platform.Resources
	Penalty  float64 // subtracted from the score; 0 for a healthy worker
	Cold     bool    // it runs tasks slowly for now

	Leaving bool // its VM will be drained soon, so that long-running tasks would move again

	SuspectedTasks int // tasks here that are suspected of crashing their worker

	longRunning int                   // number of long-running tasks here
	perStep     map[*jobs.StepRun]int // number of tasks here, by step
}

// CountTask counts a task of the step as running on the host.
func (h *Host) CountTask(s *jobs.StepRun) {
	if h.perStep == nil {
		h.perStep = map[*jobs.StepRun]int{}
	}
	h.perStep[s]++
	if s.Spec.LongRunning {
		h.longRunning++
	}
}

// HasLongRunning reports whether long-running tasks are on the host.
func (h *Host) HasLongRunning() bool { return h.longRunning > 0 }

// Charge returns what a task of the step takes of a host's free resources. Filler tasks only use
// CPU that is idle.
func Charge(st *jobs.Step) platform.Resources {
	r := st.Needs
	if st.Filler {
		r.CPU = 0
	}
	return r
}

// Admits reports whether an empty host could run a task of the step.
func (h *Host) Admits(st *jobs.Step) bool {
	if st.Label != "" && !slices.Contains(h.Labels, st.Label) {
		return false
	}
	return Charge(st).Fits(h.Capacity)
}

// canStart reports whether one more task of the step may start now.
func (h *Host) canStart(s *jobs.StepRun) bool {
	if s.Spec.MaxPerWorker > 0 && h.perStep[s] >= s.Spec.MaxPerWorker {
		return false
	}
	return h.Admits(s.Spec) && Charge(s.Spec).Fits(h.Free)
}

// Room returns how many more tasks of the step may start now.
func (h *Host) Room(s *jobs.StepRun) int {
	if !h.canStart(s) {
		return 0
	}
	charge, n := Charge(s.Spec), maxRoom
	for _, k := range [...][2]int{{h.Free.CPU, charge.CPU}, {h.Free.MemoryMB, charge.MemoryMB}, {h.Free.GPU, charge.GPU}} {
		if k[1] > 0 {
			n = min(n, k[0]/k[1])
		}
	}
	if s.Spec.MaxPerWorker > 0 {
		n = min(n, s.Spec.MaxPerWorker-h.perStep[s])
	}
	return n
}

// place takes the resources of one task.
func (h *Host) place(s *jobs.StepRun) {
	h.Free = h.Free.Sub(Charge(s.Spec))
	h.CountTask(s)
}

// unplace returns the resources of one task.
func (h *Host) unplace(s *jobs.StepRun) {
	h.Free = h.Free.Add(Charge(s.Spec))
	h.perStep[s]--
	if s.Spec.LongRunning {
		h.longRunning--
	}
}
