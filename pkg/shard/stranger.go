package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// stranger is an attempt that runs at a worker and belongs to no task that wants
// it: it was told to end, and takes resources until its end is listed.
type stranger struct {
	charge     platform.Resources
	unsized    bool          // what it takes is not known
	foundAt    time.Duration // when the worker listed it first
	orderedEnd time.Duration // when its end was last ordered
}

// strangerKey tells attempts of one task apart.
type strangerKey struct {
	task   string
	number int64
}

// takeStranger decides on an attempt that runs at a worker without our having
// ordered it: a former owner did, or our order was taken for lost. It returns
// nil for one that is not wanted.
func (o *Owner) takeStranger(s *session, r *platform.RunningAttempt, now time.Duration) *running {
	key := strangerKey{task: r.Task, number: r.Attempt}
	if st := s.strangers[key]; st != nil {
		if now-st.orderedEnd > repeatStop {
			o.endStranger(s, key, st, now)
		}
		return nil
	}
	t := o.book.Task(r.Task)
	wanted := t != nil && o.wants(t)
	o.log.Info().Str("event", "attempt_found").Str("task", r.Task).Int64("attempt", r.Attempt).
		Str("boot", s.ref.Boot).Bool("adopted", wanted).Send()
	if wanted {
		a := &running{Attempt: o.book.Adopt(t, r.Attempt, s.ref.Boot, now), confirmedAt: now}
		s.hold(r.Task, a)
		return a
	}
	st := &stranger{foundAt: now, unsized: t == nil}
	if t != nil {
		st.charge = placement.Charge(t.Step.Spec)
	}
	// Without its charge a worker that does not reject what does not fit was given
	// 14 tasks beside one that was still ending, in 6 of 15 plays of a day on which
	// all entries were killed and 0.9 s before such an end.
	s.strangers[key] = st
	s.hostCache = nil
	o.endStranger(s, key, st, now)
	return nil
}

// wants tells whether a task can do with an attempt that was found.
func (o *Owner) wants(t *jobs.Task) bool {
	if t.Step.Job.State.Final() {
		return false
	}
	return t.Idle() || t.Step.Spec.Speculative && !t.Done
}

// endStranger orders the end of a stranger.
func (o *Owner) endStranger(s *session, key strangerKey, st *stranger, now time.Duration) {
	st.orderedEnd = now
	o.sendStop(s, key.task, key.number)
}

// forgetStranger notes that a stranger has ended.
func (s *session) forgetStranger(key strangerKey) {
	if s.strangers[key] == nil {
		return
	}
	delete(s.strangers, key)
	s.hostCache = nil
}

// forgetUnlisted drops the strangers that the answer to a look sent at sentAt does not list.
func (s *session) forgetUnlisted(r *platform.WorkerReport, sentAt time.Duration) {
	if len(s.strangers) == 0 {
		return
	}
	listed := make(map[strangerKey]bool, len(r.Running))
	for i := range r.Running {
		listed[strangerKey{task: r.Running[i].Task, number: r.Running[i].Attempt}] = true
	}
	for key, st := range s.strangers {
		if !listed[key] && st.foundAt < sentAt {
			s.forgetStranger(key)
		}
	}
}

// strangersCharge is what strangers take of the worker; one whose needs are not
// known may take all of it.
func (s *session) strangersCharge() (sum platform.Resources) {
	for _, st := range s.strangers {
		if st.unsized {
			return s.info.Capacity
		}
		sum = sum.Add(st.charge)
	}
	return sum
}
