package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// arrivalWindow is the time over which arriving work is averaged. It is long enough for a few dozen jobs
// under load, and shorter than the 2 s that a VM takes to join a pool.
const arrivalWindow = 800 * time.Millisecond

const (
	// refusedRetryTime is the assumed interval between a caller's retries.
	refusedRetryTime = time.Second
	// refusedDemandTime is how long a refused submission counts as demand after its last refusal: one
	// retry interval and some delay.
	refusedDemandTime = refusedRetryTime + 500*time.Millisecond
	// maxRefusedJobs bounds the refused submissions that are remembered.
	maxRefusedJobs = 4096
)

// arrivals tracks the work of recently accepted jobs, and of submissions that were refused because
// they could not be stored and will be repeated.
type arrivals struct {
	since   time.Duration      // from when on jobs could be accepted
	recent  []arrival          // of the last window, in order
	refused map[string]arrival // by job ID, at the time of the last refusal
}

// arrival is the work of one job: the resources of its tasks times their duration in seconds.
type arrival struct {
	at       time.Duration
	cpu      float64
	memoryMB float64
	excess   bool // the job exceeds the guaranteed rate of its account
}

// add records an accepted job.
func (a *arrivals) add(id string, j arrival) {
	delete(a.refused, id)
	a.recent = append(a.recent, j)
}

// addRefused records a refused submission; added reports whether it is the first of its job.
func (a *arrivals) addRefused(id string, j arrival) (added bool) {
	if first, known := a.refused[id]; known {
		j.excess = first.excess
	} else {
		if a.forgetRefused(j.at); len(a.refused) >= maxRefusedJobs {
			return false
		}
		added = true
	}
	if a.refused == nil {
		a.refused = map[string]arrival{}
	}
	a.refused[id] = j
	return added
}

// remembersRefused reports whether a submission of the job was refused recently.
func (a *arrivals) remembersRefused(id string) bool {
	_, known := a.refused[id]
	return known
}

// forgetRefused forgets the submissions that have not been repeated in time.
func (a *arrivals) forgetRefused(now time.Duration) {
	for id, j := range a.refused {
		if now-j.at > refusedDemandTime {
			delete(a.refused, id)
		}
	}
}

// demand returns the resources that arriving jobs will hold on average if they keep arriving
// as in the last window, and refused ones arrive within refusedRetryTime, and the part of them for
// jobs over the guaranteed rates of accounts.
func (a *arrivals) demand(now time.Duration) (all, excess platform.Resources) {
	drop := 0
	for drop < len(a.recent) && now-a.recent[drop].at > arrivalWindow {
		drop++
	}
	a.recent = a.recent[drop:]
	var sum, over arrival
	for _, j := range a.recent {
		sum.addWork(j)
		if j.excess {
			over.addWork(j)
		}
	}
	window := min(arrivalWindow, max(now-a.since, arrivalWindow/4))
	refused, refusedOver := a.refusedWork(now)
	all = sum.rate(window).Add(refused.rate(refusedRetryTime))
	excess = over.rate(window).Add(refusedOver.rate(refusedRetryTime))
	return all, excess
}

// refusedWork returns the work of refused submissions, and of those over the guaranteed rates of
// accounts.
func (a *arrivals) refusedWork(now time.Duration) (all, excess arrival) {
	a.forgetRefused(now)
	for _, j := range a.refused {
		all.addWork(j)
		if j.excess {
			excess.addWork(j)
		}
	}
	return all, excess
}

// addWork adds the work of another job.
func (j *arrival) addWork(other arrival) {
	j.cpu += other.cpu
	j.memoryMB += other.memoryMB
}

// rate returns the resources that the work holds on average when it arrives once in a window.
func (j arrival) rate(window time.Duration) platform.Resources {
	return platform.Resources{CPU: int(j.cpu / window.Seconds()), MemoryMB: int(j.memoryMB / window.Seconds())}
}

// noteArrival records an accepted job.
func (o *Owner) noteArrival(id string, r *jobs.Record, now time.Duration) {
	o.arrivals.add(id, o.expectedWork(r, now))
}

// noteRefused records a submission that was refused because it could not be stored. The lock is held.
func (o *Owner) noteRefused(id string, r *jobs.Record) {
	now := o.now()
	if o.arrivals.addRefused(id, o.expectedWork(r, now)) {
		o.cfg.Metrics.Job("refused")
	}
}

// expectedWork returns the work of a job that arrives now. Scheduled jobs and long-running or filler
// tasks do not count, since they don't arrive at a steady rate.
func (o *Owner) expectedWork(r *jobs.Record, now time.Duration) arrival {
	j := arrival{at: now, excess: r.Excess}
	if r.Spec.Times > 0 {
		return j
	}
	for i := range r.Spec.Steps {
		st := &r.Spec.Steps[i]
		if st.LongRunning || st.Filler {
			continue
		}
		s := o.durations[r.Queue].expected(st.Estimate).Seconds() * float64(st.Count)
		j.cpu += s * float64(st.Needs.CPU)
		j.memoryMB += s * float64(st.Needs.MemoryMB)
	}
	return j
}
