package shard

import (
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/placement"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// foreignAttempt is an attempt that runs at a worker without a task that wants it. It was
// ordered to stop, and holds resources until its end is reported.
type foreignAttempt struct {
	charge        platform.Resources // resources held at the worker
	account       string             // client account of its job, empty if unknown
	needs         platform.Resources // resources counted against the account's limit
	unknownSize   bool               // its resources are unknown
	foundAt       time.Duration      // when the worker reported it first
	stopOrderedAt time.Duration      // when its stop was last ordered
}

// foreignKey identifies an attempt of a task.
type foreignKey struct {
	task   string
	number int64
}

// adoptOrStop decides on a reported attempt that this owner has no record of: a former
// owner started it, or this owner has dropped it as lost. It returns nil if the attempt is not wanted.
func (o *Owner) adoptOrStop(s *session, r *platform.RunningAttempt, now time.Duration) *workerAttempt {
	key := foreignKey{task: r.Task, number: r.Attempt}
	if fa := s.foreign[key]; fa != nil {
		if now-fa.stopOrderedAt > stopTimeout {
			o.stopForeign(s, key, fa, now)
		}
		return nil
	}
	t := o.registry.Task(r.Task)
	wanted := t != nil && o.canAdopt(t) && s.attempts[r.Task] == nil // one attempt of a task at a time is held at a worker
	o.log.Info().Str("event", "attempt_found").Str("task", r.Task).Int64("attempt", r.Attempt).
		Str("boot", s.ref.Boot).Bool("adopted", wanted).Send()
	if wanted {
		a := &workerAttempt{Attempt: o.registry.Adopt(t, r.Attempt, s.ref.Boot, now), startConfirmedAt: now}
		s.addAttempt(r.Task, a)
		if s.trial != nil && slices.Contains(s.trial.tasks, t) {
			s.trial.attempts = append(s.trial.attempts, a.Attempt)
		}
		return a
	}
	fa := &foreignAttempt{foundAt: now, unknownSize: t == nil}
	if t != nil {
		fa.charge = placement.Charge(t.Step.Spec)
		fa.account, fa.needs = t.Step.Job.Account, t.Step.Spec.Needs
	}
	// Its charge is counted, since not all workers reject tasks that exceed their room.
	s.foreign[key] = fa
	s.hostCache = nil
	o.stopForeign(s, key, fa, now)
	return nil
}

// canAdopt reports whether a task needs the attempt that was found at a worker.
func (o *Owner) canAdopt(t *jobs.Task) bool {
	if t.Step.Job.State.Final() {
		return false
	}
	return t.Idle() || t.Step.Spec.Speculative && !t.Done
}

// stopForeign orders a foreign attempt to stop.
func (o *Owner) stopForeign(s *session, key foreignKey, fa *foreignAttempt, now time.Duration) {
	fa.stopOrderedAt = now
	o.enqueueForeignStop(s, key.task, key.number)
}

// forgetForeign removes a foreign attempt that has ended.
func (s *session) forgetForeign(key foreignKey) {
	if s.foreign[key] == nil {
		return
	}
	delete(s.foreign, key)
	s.hostCache = nil
}

// forgetUnlistedForeign removes the foreign attempts missing from the report that answers a
// poll sent at sentAt.
func (s *session) forgetUnlistedForeign(r *platform.WorkerReport, sentAt time.Duration) {
	if len(s.foreign) == 0 {
		return
	}
	listed := make(map[foreignKey]bool, len(r.Running))
	for i := range r.Running {
		listed[foreignKey{task: r.Running[i].Task, number: r.Running[i].Attempt}] = true
	}
	for key, fa := range s.foreign {
		if !listed[key] && fa.foundAt < sentAt {
			s.forgetForeign(key)
		}
	}
}

// foreignCharge returns the resources held by foreign attempts, all of the worker's if those
// of one are unknown.
func (s *session) foreignCharge() (sum platform.Resources) {
	for _, fa := range s.foreign {
		if fa.unknownSize {
			return s.info.Capacity
		}
		sum = sum.Add(fa.charge)
	}
	return sum
}
