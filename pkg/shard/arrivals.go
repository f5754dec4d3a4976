package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// arrivalWindow is the time over which arriving work is averaged: long enough for
// a few dozen jobs under load, short against the 2 s that a VM takes to arrive.
const arrivalWindow = 800 * time.Millisecond

// arrivals is the work of the jobs that were accepted of late.
type arrivals struct {
	since  time.Duration // when the first job could have been noted
	recent []arrival     // of the last window, in order
}

// arrival is the work of one job: its tasks' resources times seconds.
type arrival struct {
	at       time.Duration
	cpu      float64
	memoryMB float64
}

// add takes the work of one job.
func (a *arrivals) add(at time.Duration, cpu, memoryMB float64) {
	a.recent = append(a.recent, arrival{at: at, cpu: cpu, memoryMB: memoryMB})
}

// demand is the resources that the tasks of arriving jobs will hold on average,
// if jobs go on to arrive as they did in the last window.
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

// noteArrival takes a job that was just accepted; its long-running and scheduled
// tasks are no part of a flow of work.
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
