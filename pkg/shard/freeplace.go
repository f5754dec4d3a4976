package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// drain is the request to drain a session's VM.
type drain struct {
	rank  int           // order among the VMs being drained, lowest first
	since time.Duration // when the VM was first asked to drain
	// noRoom is how many tasks whose step would let them move found no room elsewhere.
	noRoom int
}

// moveLimitedTasks stops tasks whose steps limit missing ones, at workers that are about to leave
// and at drained VMs. A free place goes to the VM of the lowest rank, then to the one drained
// longest; a VM that can't use it doesn't hold it back from the others.
func (o *Owner) moveLimitedTasks(now time.Duration) {
	if o.closed || o.releasing || !o.ownershipConfirmed(now) {
		return // a stopped task could not be started again
	}
	room := &spareRoom{owner: o, now: now}
	for _, s := range o.sessionsByBoot() {
		if !s.draining && s.leaving(now, o.cfg.StoreUptime()) {
			o.evacuate(s, room, limitsKept, "its worker is no longer listed")
		}
	}
	for _, s := range drainOrder(o.sessionsByBoot(), now) {
		s.drain.noRoom = o.evacuate(s, room, limitsKept, "its VM is being drained").noRoom
	}
}

// startingLimitedTasks returns the number of tasks at a worker that do not serve yet and whose step
// limits missing ones, while open waves drain VMs: until they serve, others of their step can't move.
func (o *Owner) startingLimitedTasks(s *session) (n int) {
	if len(o.waveVMs.names) == 0 {
		return 0
	}
	for _, a := range s.attempts {
		spec := a.Task.Step.Spec
		if spec.LongRunning && spec.HasMaxUnavailable && a.Phase == jobs.PhaseRunning && a.Percent < servingPercent {
			n++
		}
	}
	return n
}

// drainOrder returns the sessions whose VMs are being drained, in the order in which they get free
// places.
func drainOrder(sessions []*session, now time.Duration) (drained []*session) {
	for _, s := range sessions {
		if s.drained(now) && !s.draining {
			drained = append(drained, s)
		}
	}
	slices.SortStableFunc(drained, func(a, b *session) int {
		return cmp.Or(cmp.Compare(a.drain.rank, b.drain.rank), cmp.Compare(a.drain.since, b.drain.since))
	})
	return drained
}

// drained reports whether the session's VM is being drained.
func (s *session) drained(now time.Duration) bool { return now < s.cordonedUntil }
