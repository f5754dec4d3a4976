package shard

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
)

const (
	// cordonDuration is how long a VM gets no new tasks after a call of DrainVM.
	cordonDuration = 4 * time.Second
	// servingPercent is the progress of a long-running task that serves.
	servingPercent = 100
	// evacuationDelay is how long after a takeover a former owner's stop that does not show in reports yet
	// may take effect, unless workers' answers show that it is less. Unless a release tells which stops there
	// are, a new owner stops no task of a step that limits missing ones for so long.
	evacuationDelay = 2500 * time.Millisecond
	// stopReportTime is how long the report of an ended task may take.
	stopReportTime = 250 * time.Millisecond
	// maxReleasedStops bounds the stops that a release tells, to keep the owner row small.
	maxReleasedStops = 200
	// limitedStopWait is how long tasks at a worker that is about to end wait for a stop at another one if it
	// does not say when it ends. A worker announces its end 2 s before, and a stop takes up to 0.9 s.
	limitedStopWait = time.Second
	// drainStopTime is the last part of a worker's remaining time, kept for the stops there.
	drainStopTime = time.Second
)

// limitPolicy says which tasks of steps that limit missing ones are moved.
type limitPolicy string

const (
	limitsIgnored  limitPolicy = "ignored"  // all, once other stops have ended: their worker is about to end
	limitsKept     limitPolicy = "kept"     // as far as the steps' limits allow
	limitsDeferred limitPolicy = "deferred" // none: moveLimitedTasks chooses among all drained VMs
)

// DrainVM keeps new tasks away from a VM and moves its tasks away, as far as the steps' limits
// on missing tasks allow; VMs of a lower rank go first. It reports whether the VM is empty; the
// caller repeats it until then.
func (o *Owner) DrainVM(vm string, rank int) (empty bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if o.closed || !o.ownershipConfirmed(now) {
		return false
	}
	if o.cordon(vm, rank, now) {
		o.moveLimitedTasks(now)
	}
	empty = true
	for _, s := range o.sessionsByBoot() {
		if s.vm != vm {
			continue
		}
		if o.mayHoldFormerTasks(s) {
			empty = false
			continue
		}
		waits := o.evacuate(s, &spareRoom{owner: o, now: now}, limitsDeferred, "its VM is being drained")
		if !s.idle() {
			empty = false
			o.logNotEmpty(s, waits, now)
			continue
		}
		if s.recorded() {
			// The worker may leave now: the next owner need not contact it.
			o.record.markChanged(s.worker)
			o.requestCommit()
		}
	}
	return empty
}

// mayHoldFormerTasks reports whether tasks of former owners may be at a worker.
func (o *Owner) mayHoldFormerTasks(s *session) bool {
	return s.former.pending || o.formerWorkersPending && !s.attemptsKnown
}

// cordon keeps new tasks away from a VM; it reports whether the VM was not being drained before.
func (o *Owner) cordon(vm string, rank int, now time.Duration) (added bool) {
	for _, s := range o.sessionsByBoot() {
		if s.vm != vm || o.mayHoldFormerTasks(s) {
			continue
		}
		if !s.drained(now) {
			s.drain.since, added = now, true
			o.log.Info().Str("event", "worker_cordoned").Str("boot", s.ref.Boot).Str("vm", vm).Int("rank", rank).Int("attempts", len(s.attempts)).Send()
		}
		s.drain.rank, s.cordonedUntil = rank, now+cordonDuration
	}
	return added
}

// waitCounts counts the tasks at a worker being emptied by what they wait for.
type waitCounts struct {
	finishing int // their own end
	stopping  int // the end of a stop
	limited   int // other tasks of their step that are missing
	noRoom    int // room at another worker
}

// logNotEmpty logs, once per loadLogInterval, why a VM is not empty yet.
func (o *Owner) logNotEmpty(s *session, w waitCounts, now time.Duration) {
	if now-s.notEmptyLoggedAt < loadLogInterval {
		return
	}
	s.notEmptyLoggedAt = now
	// DrainVM leaves limited tasks to moveLimitedTasks, which knows those without room.
	w.limited, w.noRoom = max(0, w.limited-s.drain.noRoom), w.noRoom+min(s.drain.noRoom, w.limited)
	o.log.Info().Str("event", "worker_not_empty").Str("boot", s.ref.Boot).Str("vm", s.vm).
		Int("finishing", w.finishing).Int("stopping", w.stopping).Int("limited", w.limited).Int("no_room", w.noRoom).
		Int("foreign", len(s.foreign)).Bool("in_doubt", s.outcomeUnknown).Int64("ends_not_kept", s.ends.complete-s.ends.stored).
		Int("failures", s.unansweredCalls).Send()
}

// spareRoom is the room at other workers for tasks to be moved. It is computed on first use, since
// most drained workers have no task to move.
type spareRoom struct {
	owner *Owner
	now   time.Duration
	// hosts and future are the workers as they are now and after their finite tasks have ended.
	hosts, future []*placement.Host
}

// reserve takes room for one more task of a step; it reports whether there is any.
func (e *spareRoom) reserve(step *jobs.StepRun) bool {
	if e.hosts == nil {
		e.hosts, e.future = e.owner.scratchHosts(e.now), e.owner.futureHosts(e.now)
	}
	return placement.Reserve(step, e.hosts) || placement.Reserve(step, e.future)
}

// evacuate stops the long-running tasks at a worker that have room elsewhere, so that they
// restart there; others are left to finish. It returns what the tasks wait for.
func (o *Owner) evacuate(s *session, room *spareRoom, limits limitPolicy, why string) (w waitCounts) {
	for _, r := range sortedByKey(s.attempts) {
		step := r.Task.Step
		switch {
		case r.Phase == jobs.PhaseStopped:
			w.stopping++
		case !step.Spec.LongRunning:
			w.finishing++
		case step.Spec.HasMaxUnavailable && !o.mayStopLimited(s, r.Task, limits, room.now):
			w.limited++
		case !room.reserve(step):
			w.noRoom++
		default:
			if o.stop(s, r, why) {
				r.stopLimited = step.Spec.HasMaxUnavailable && limits == limitsKept
				o.restarts.noteStop(r.Task, room.now)
			}
			w.stopping++
		}
	}
	return w
}

// mayStopLimited reports whether a task whose step limits missing ones may be stopped now at a worker.
func (o *Owner) mayStopLimited(s *session, t *jobs.Task, limits limitPolicy, now time.Duration) bool {
	switch limits {
	case limitsIgnored:
		return now >= s.drainDeadline || !o.limitedStopOutstanding(t.Step)
	case limitsDeferred:
		return false
	default:
		return !o.formerWorkersPending && o.formerStopsKnown(now) && o.withinMaxUnavailable(t.Step, t, now)
	}
}

// limitedStopOutstanding reports whether a task of the step was ordered to stop at a worker that stays, and
// has not ended. Until it ends, no others may go missing by our doing, or it ends while too many are.
func (o *Owner) limitedStopOutstanding(step *jobs.StepRun) bool {
	for _, t := range step.Tasks {
		for _, a := range t.Attempts {
			if s := o.sessions[a.Boot]; s != nil && !s.draining && o.stopping(a) {
				return true
			}
		}
	}
	return false
}

// noteDraining records that a worker is about to end. remaining is until when it runs at least, 0 if it
// does not say that.
func (s *session) noteDraining(now, remaining time.Duration) {
	if !s.draining {
		s.draining, s.drainDeadline = true, now+limitedStopWait
	}
	s.drainDeadline = max(s.drainDeadline, now+remaining-drainStopTime)
}

// formerStopsKnown reports whether this owner knows all stops of former owners that may still take effect.
func (o *Owner) formerStopsKnown(now time.Duration) bool {
	p := &o.claim.predecessor
	return p.StopsEnded || len(p.Stops) > 0 || o.formerStopsEnded(now)
}

// formerStopsEnded reports whether it is too late for any stop of a former owner to take effect.
func (o *Owner) formerStopsEnded(now time.Duration) bool {
	return now-o.tookOverAt >= evacuationDelay || o.formerStopsEndAt > 0 && now >= o.formerStopsEndAt
}

// stopping reports whether an attempt was ordered to stop, by this owner or, as told by a release, by a
// former one.
func (o *Owner) stopping(a *jobs.Attempt) bool {
	if a.Phase == jobs.PhaseStopped {
		return true
	}
	stops := o.claim.predecessor.Stops
	return len(stops) > 0 && stops[a.Task.Name()] == a.Number && !o.formerStopsEnded(o.now())
}

// outstandingStops returns the stops of tasks whose steps limit missing ones that may still take effect:
// ended tells that there are none, and stops names them. If they are not known it returns neither.
func (o *Owner) outstandingStops(now time.Duration) (ended bool, stops map[string]int64) {
	if !o.formerStopsKnown(now) {
		return false, nil
	}
	stops = map[string]int64{}
	for _, s := range o.sessions {
		for name, r := range s.attempts {
			if r.Task.Step.Spec.HasMaxUnavailable && o.stopping(r.Attempt) {
				stops[name] = r.Number
			}
		}
	}
	if len(stops) > maxReleasedStops {
		return false, nil
	}
	return len(stops) == 0, stops
}

// futureHosts returns the workers that accept tasks as they will be once their finite tasks
// have ended. In a full pool this is the only room for a long-running task, which is placed
// before others.
func (o *Owner) futureHosts(now time.Duration) (hosts []*placement.Host) {
	for _, s := range o.sessionsByBoot() {
		if s.acceptsTasks(now) {
			hosts = append(hosts, s.futureHost())
		}
	}
	return hosts
}

// withinMaxUnavailable reports whether a task may be stopped: fewer other tasks of its step are
// missing, for whatever cause, or about to be, than the step allows.
func (o *Owner) withinMaxUnavailable(step *jobs.StepRun, t *jobs.Task, now time.Duration) bool {
	missing := 0
	for _, other := range step.Tasks {
		if other != t && (!o.serves(other) || o.endsSoon(other, now)) {
			missing++
		}
	}
	return missing < step.Spec.MaxUnavailable
}

// endsSoon reports whether a task is at a worker that is about to end, and has to be stopped there before the
// outcome of a stop that is sent now is certain.
func (o *Owner) endsSoon(t *jobs.Task, now time.Duration) bool {
	return slices.ContainsFunc(t.Attempts, func(a *jobs.Attempt) bool {
		s := o.sessions[a.Boot]
		return s != nil && s.draining && now+stopTimeout >= s.drainDeadline
	})
}

// serves reports whether a long-running task is known to serve; one at a worker that does
// not answer may have ended with it, and one that was ordered to stop is about to.
func (o *Owner) serves(t *jobs.Task) bool {
	for _, a := range t.Attempts {
		s := o.sessions[a.Boot]
		if s != nil && s.unansweredCalls == 0 && a.Phase == jobs.PhaseRunning && a.Percent >= servingPercent && !o.stopping(a) {
			return true
		}
	}
	return false
}
