package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// arrivalWindow is the time over which arriving work is averaged. It is shorter than a VM takes to join
// a pool.
const arrivalWindow = 800 * time.Millisecond

// arrivals tracks the work of recently accepted jobs.
type arrivals struct {
	since  time.Duration // from when on jobs could be accepted
	recent []arrival     // of the last window, in order
}

// arrival is the work of one job: the resources of its tasks times their duration in seconds.
type arrival struct {
	at       time.Duration
	cpu      float64
	memoryMB float64
}

// add records the work of one job.
func (a *arrivals) add(at time.Duration, cpu, memoryMB float64) {
	a.recent = append(a.recent, arrival{at: at, cpu: cpu, memoryMB: memoryMB})
}

// demand returns the resources that arriving jobs will hold on average if they keep arriving
// as in the last window.
func (a *arrivals) demand(now time.Duration) (r platform.Resources) {
	drop := 0
	for drop < len(a.recent) && now-a.recent[drop].at > arrivalWindow {
		drop++
	}
	a.recent = a.recent[drop:]
	var cpu, memoryMB float64
	for _, j := range a.recent {
		cpu += j.cpu
		memoryMB += j.memoryMB
	}
	window := min(arrivalWindow, max(now-a.since, arrivalWindow/4)).Seconds()
	return platform.Resources{CPU: int(cpu / window), MemoryMB: int(memoryMB / window)}
}

// noteArrival records an accepted job. Scheduled jobs and long-running or filler tasks do not
// count, since they don't arrive at a steady rate.
func (o *Owner) noteArrival(j *jobs.Record, now time.Duration) {
	if j.Spec.Times > 0 {
		return
	}
	var cpu, memoryMB float64
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		if st.LongRunning || st.Filler {
			continue
		}
		s := o.durations[j.Queue].expected(st.Estimate).Seconds() * float64(st.Count)
		cpu += s * float64(st.Needs.CPU)
		memoryMB += s * float64(st.Needs.MemoryMB)
	}
	o.arrivals.add(now, cpu, memoryMB)
}
