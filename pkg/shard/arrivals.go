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
	excess   bool // the job exceeds the guaranteed rate of its account
}

// add records the work of one job.
func (a *arrivals) add(j arrival) { a.recent = append(a.recent, j) }

// demand returns the resources that arriving jobs will hold on average if they keep arriving
// as in the last window, and the part of them for jobs over the guaranteed rates of accounts.
func (a *arrivals) demand(now time.Duration) (all, excess platform.Resources) {
	drop := 0
	for drop < len(a.recent) && now-a.recent[drop].at > arrivalWindow {
		drop++
	}
	a.recent = a.recent[drop:]
	var sum, over arrival
	for _, j := range a.recent {
		sum.cpu += j.cpu
		sum.memoryMB += j.memoryMB
		if j.excess {
			over.cpu += j.cpu
			over.memoryMB += j.memoryMB
		}
	}
	window := min(arrivalWindow, max(now-a.since, arrivalWindow/4))
	return sum.rate(window), over.rate(window)
}

// rate returns the resources that the work holds on average when it arrives once in a window.
func (j arrival) rate(window time.Duration) platform.Resources {
	return platform.Resources{CPU: int(j.cpu / window.Seconds()), MemoryMB: int(j.memoryMB / window.Seconds())}
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
	o.arrivals.add(arrival{at: now, cpu: cpu, memoryMB: memoryMB, excess: j.Excess})
}
