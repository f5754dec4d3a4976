package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
)

const (
	// cordonDuration is how long a VM stays without new tasks after it was last asked to be empty.
	cordonDuration = 4 * time.Second
	// servingPercent is the progress of a long-running task that serves.
	servingPercent = 100
	// evacuationDelay is how long a new owner takes no task away where a step limits
	// the missing ones: a former owner may have told one to end, which takes a
	// second and does not show in the listings before.
	evacuationDelay = 2500 * time.Millisecond
)

// DrainVM keeps new tasks away from a VM and moves away what runs there, as far as
// the steps' limits on missing tasks allow; it reports whether nothing is left.
func (o *Owner) DrainVM(vm string) (empty bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if o.closed || !o.confirmed(now) {
		return false
	}
	empty = true
	for _, s := range o.sessionsByBoot() {
		if s.vm != vm {
			continue
		}
		if s.former.open || o.formerPending && !s.synced {
			empty = false // a former owner's tasks may be there
			continue
		}
		if s.cordonedUntil < now {
			o.log.Info().Str("event", "worker_cordoned").Str("boot", s.ref.Boot).Str("vm", vm).Int("attempts", len(s.attempts)).Send()
		}
		s.cordonedUntil = now + cordonDuration
		waits := o.evacuate(s, true, "its VM is to be empty")
		if !s.idle() {
			empty = false
			o.logNotEmpty(s, waits, now)
			continue
		}
		if s.recorded {
			// It may leave now: a next owner need not look for leases there.
			s.recorded = false
			o.record.note(s.worker)
			o.kickCommit()
		}
	}
	return empty
}

// waitCounts counts the tasks at a worker that is to be empty by what they wait for.
type waitCounts struct {
	finishing int // they come to an end
	stopping  int // they were told to end
	limited   int // too many of their step are away
	noRoom    int // no other worker has room
}

// logNotEmpty says from time to time why a VM that is to be empty is not: what
// makes a wave of maintenance late is known before it is.
func (o *Owner) logNotEmpty(s *session, w waitCounts, now time.Duration) {
	if now-s.notEmptyLoggedAt < loadLogInterval {
		return
	}
	s.notEmptyLoggedAt = now
	o.log.Info().Str("event", "worker_not_empty").Str("boot", s.ref.Boot).Str("vm", s.vm).
		Int("finishing", w.finishing).Int("stopping", w.stopping).Int("limited", w.limited).Int("no_room", w.noRoom).
		Int("foreign", len(s.foreign)).Bool("in_doubt", s.inDoubt).Int64("ends_not_kept", s.ends.applied-s.ends.stored).
		Int("failures", s.unansweredCalls).Send()
}

// spareRoom is the room for tasks that are to leave their worker. Most workers that are to be empty
// have none that moves, and there is no need to go through all others.
type spareRoom struct {
	owner *Owner
	now   time.Duration
	// hosts and soon are the workers as they are and as they will be, nil until asked for.
	hosts, soon []*placement.Host
}

// reserve takes room for one more task of a step; it reports whether there is any.
func (e *spareRoom) reserve(step *jobs.StepRun) bool {
	if e.hosts == nil {
		e.hosts, e.soon = e.owner.scratchHosts(e.now), e.owner.futureHosts(e.now)
	}
	return placement.Reserve(step, e.hosts) || placement.Reserve(step, e.soon)
}

// evacuate ends the long-running tasks at a worker that have room elsewhere, so
// that they start there; others are left to finish. With limited, no more tasks
// of a step are away than it allows. It tells what the tasks wait for.
func (o *Owner) evacuate(s *session, limited bool, why string) (w waitCounts) {
	room := &spareRoom{owner: o, now: o.now()}
	for _, r := range sortedByKey(s.attempts) {
		step := r.Task.Step
		switch {
		case r.Phase == jobs.PhaseStopped:
			w.stopping++
		case !step.Spec.LongRunning:
			w.finishing++
		case limited && step.Spec.Limited && (o.formerPending || room.now-o.tookOverAt < evacuationDelay || !o.mayMiss(step, r.Task)):
			w.limited++
		case !room.reserve(step):
			w.noRoom++
		default:
			o.stop(s, r, why)
			w.stopping++
		}
	}
	return w
}

// futureHosts returns the workers that may get tasks as they will be when what comes
// to an end there has ended. In a pool whose tasks wait, others take what is free
// at once; a long-running task that waits goes before them. Without this a VM with
// such tasks was not empty for 7 to 17 s in a pool in demand, and its wave late.
func (o *Owner) futureHosts(now time.Duration) (hosts []*placement.Host) {
	for _, s := range o.sessionsByBoot() {
		if s.acceptsTasks(now) {
			hosts = append(hosts, s.futureHost())
		}
	}
	return hosts
}

// mayMiss tells whether a task may be taken away: fewer others of its step than
// the step allows do not serve at present, whatever the cause.
func (o *Owner) mayMiss(step *jobs.StepRun, t *jobs.Task) bool {
	away := 0
	for _, other := range step.Tasks {
		if other != t && !o.serves(other) {
			away++
		}
	}
	return away < step.Spec.MayMiss
}

// serves tells whether a long-running task is at work, as far as is known: one
// at a worker that does not answer may have ended with it.
func (o *Owner) serves(t *jobs.Task) bool {
	for _, a := range t.Attempts {
		s := o.sessions[a.Boot]
		if s != nil && s.unansweredCalls == 0 && a.Phase == jobs.PhaseRunning && a.Percent >= servingPercent {
			return true
		}
	}
	return false
}
