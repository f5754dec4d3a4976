package shard

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// foreignAttempt is an attempt that runs at a worker and belongs to no task that wants
// it: it was told to end, and takes resources until its end is listed.
type foreignAttempt struct {
	charge        platform.Resources // of the worker
	account       string             // client account of its job, empty if that is not known
	needs         platform.Resources // of the account's limit
	unknownSize   bool               // what it takes is not known
	foundAt       time.Duration      // when the worker listed it first
	stopOrderedAt time.Duration      // when its end was last ordered
}

// foreignKey tells attempts of one task apart.
type foreignKey struct {
	task   string
	number int64
}

// adoptOrStop decides on an attempt that runs at a worker without our having
// ordered it: a former owner did, or our order was taken for lost. It returns
// nil for one that is not wanted.
func (o *Owner) adoptOrStop(s *session, r *platform.RunningAttempt, now time.Duration) *workerAttempt {
	key := foreignKey{task: r.Task, number: r.Attempt}
	if st := s.foreign[key]; st != nil {
		if now-st.stopOrderedAt > stopRetryInterval {
			o.stopForeign(s, key, st, now)
		}
		return nil
	}
	t := o.book.Task(r.Task)
	wanted := t != nil && o.canAdopt(t) && s.attempts[r.Task] == nil // one attempt of a task is held here at a time
	o.log.Info().Str("event", "attempt_found").Str("task", r.Task).Int64("attempt", r.Attempt).
		Str("boot", s.ref.Boot).Bool("adopted", wanted).Send()
	if wanted {
		a := &workerAttempt{Attempt: o.book.Adopt(t, r.Attempt, s.ref.Boot, now), confirmedAt: now}
		s.addAttempt(r.Task, a)
		if s.trial != nil && slices.Contains(s.trial.tasks, t) {
			s.trial.attempts = append(s.trial.attempts, a.Attempt)
		}
		return a
	}
	st := &foreignAttempt{foundAt: now, unknownSize: t == nil}
	if t != nil {
		st.charge = placement.Charge(t.Step.Spec)
		st.account, st.needs = t.Step.Job.Account, t.Step.Spec.Needs
	}
	// Without its charge a worker that does not reject what does not fit was given
	// 14 tasks beside one that was still ending, in 6 of 15 plays of a day on which
	// all entries were killed and 0.9 s before such an end.
	s.foreign[key] = st
	s.hostCache = nil
	o.stopForeign(s, key, st, now)
	return nil
}

// canAdopt tells whether a task can do with an attempt that was found.
func (o *Owner) canAdopt(t *jobs.Task) bool {
	if t.Step.Job.State.Final() {
		return false
	}
	return t.Idle() || t.Step.Spec.Speculative && !t.Done
}

// stopForeign orders the end of a foreign attempt.
func (o *Owner) stopForeign(s *session, key foreignKey, st *foreignAttempt, now time.Duration) {
	st.stopOrderedAt = now
	o.enqueueStop(s, key.task, key.number)
}

// forgetForeign notes that a foreign attempt has ended.
func (s *session) forgetForeign(key foreignKey) {
	if s.foreign[key] == nil {
		return
	}
	delete(s.foreign, key)
	s.hostCache = nil
}

// forgetUnlistedForeign drops the foreign attempts that the answer to a look sent at sentAt does not list.
func (s *session) forgetUnlistedForeign(r *platform.WorkerReport, sentAt time.Duration) {
	if len(s.foreign) == 0 {
		return
	}
	listed := make(map[foreignKey]bool, len(r.Running))
	for i := range r.Running {
		listed[foreignKey{task: r.Running[i].Task, number: r.Running[i].Attempt}] = true
	}
	for key, st := range s.foreign {
		if !listed[key] && st.foundAt < sentAt {
			s.forgetForeign(key)
		}
	}
}

// foreignCharge is what foreign attempts take of the worker; one whose needs are not
// known may take all of it.
func (s *session) foreignCharge() (sum platform.Resources) {
	for _, st := range s.foreign {
		if st.unknownSize {
			return s.info.Capacity
		}
		sum = sum.Add(st.charge)
	}
	return sum
}
