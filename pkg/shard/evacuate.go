package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
)

const (
	// cordonTime is how long a VM stays without new tasks after it was last asked to be empty.
	cordonTime = 4 * time.Second
	// fullPercent is the progress of a long-running task that serves.
	fullPercent = 100
	// evacuateAfter is how long a new owner takes no task away where a step limits
	// the missing ones: a former owner may have told one to end, which takes a
	// second and does not show in the listings before.
	evacuateAfter = 2500 * time.Millisecond
)

// Empty keeps new tasks away from a VM and moves away what runs there, as far as
// the steps' limits on missing tasks allow; it reports whether nothing is left.
func (o *Owner) Empty(vm string) (empty bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if o.over || !o.confirmed(now) {
		return false
	}
	empty = true
	for _, s := range o.sessions {
		if s.vm != vm {
			continue
		}
		if o.held && !s.known {
			empty = false // a former owner's tasks may be there
			continue
		}
		if s.cordonedTo < now {
			o.log.Info().Str("event", "worker_cordoned").Str("boot", s.ref.Boot).Str("vm", vm).Int("attempts", len(s.attempts)).Send()
		}
		s.cordonedTo = now + cordonTime
		o.evacuate(s, true, "its VM is to be empty")
		if !s.idle() {
			empty = false
			continue
		}
		if s.recorded {
			// It may leave now: a next owner need not look for leases there.
			s.recorded = false
			o.workersChanged = true
			o.kickCommit()
		}
	}
	return empty
}

// evacuate ends the long-running tasks at a worker that have room elsewhere, so
// that they start there; others are left to finish. With limited, no more tasks
// of a step are away than it allows.
func (o *Owner) evacuate(s *session, limited bool, why string) {
	now := o.now()
	hosts := o.hostsToTry(now)
	for _, r := range s.attempts {
		step := r.Task.Step
		if !step.Spec.LongRunning || r.Phase == jobs.PhaseStopped {
			continue
		}
		if limited && step.Spec.Limited && (o.held || now-o.openedAt < evacuateAfter || !o.mayMiss(step, r.Task)) {
			continue
		}
		if !placement.Reserve(step, hosts) {
			continue
		}
		o.stop(s, r, why)
	}
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
		if s != nil && s.failures == 0 && a.Phase == jobs.PhaseRunning && a.Percent >= fullPercent {
			return true
		}
	}
	return false
}
