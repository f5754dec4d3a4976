package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/blame"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// lossCountedAfter is how many calls in a row a worker leaves unanswered before its loss is
// counted against what is there. It is not certain then, and taken back if the boot
// answers again; but a worker that was brought down is known to have ended only when its
// next boot answers, 3 s later, and an owner that goes meanwhile takes what it knows along.
const lossCountedAfter = 2

// countLosses counts the loss of a worker against the tasks there.
func (o *Owner) countLosses(s *session) {
	now := o.now()
	if s.blamed || s.departsByPlan(now) {
		return
	}
	s.blamed = true
	var at []*running
	var attempts []blame.Attempt
	for _, r := range byName(s.attempts) {
		if r.sent() {
			at = append(at, r)
			attempts = append(attempts, blame.Attempt{Ran: s.ranFor(r, now), Trial: s.isOnTrial(r)})
		}
	}
	for i, counted := range blame.Counted(attempts) {
		if counted {
			o.countLoss(s, at[i], attempts[i])
		}
	}
}

// departsByPlan tells whether a worker was about to go before it was lost, so that its loss
// says nothing of its tasks. One that leaves without a word answers after its row has gone;
// the row of one that was brought down may go before its silence is noticed.
func (s *session) departsByPlan(now time.Duration) bool {
	return s.draining || s.cordonedTo > s.lostAt(now) || s.unlistedAt > 0 && s.clockAt > s.unlistedAt
}

func (o *Owner) countLoss(s *session, r *running, a blame.Attempt) {
	t := r.Task
	t.SetLosses(t.Losses.With(blame.Loss{Attempt: r.Number, Boot: s.ref.Boot, Ran: a.Ran, Trial: a.Trial, Delivered: r.confirmedAt > 0 || r.cut}))
	o.suspects[t] = struct{}{}
	o.log.Info().Str("event", "loss_counted").Str("task", t.Name()).Int64("attempt", r.Number).Str("boot", s.ref.Boot).
		Dur("ran", a.Ran).Bool("trial", a.Trial).Bool("firm", r.confirmedAt > 0 || r.cut).Int("losses", len(t.Losses)).Str("verdict", string(t.Verdict())).Send()
	o.persist(t.Step.Job, true)
}

// retractBootLosses takes back the losses of a boot that is alive, as its report shows. A start of a task that
// has others, which runs there still, is noted ahead again; if it was on trial, the worker is kept
// for it again. A next owner that knew of neither started a crashing task beside the one on trial,
// and gave up its job, which had done nothing (TestInnocentOnTrialAtTakeover).
func (o *Owner) retractBootLosses(s *session, r *platform.WorkerReport) {
	s.blamed = false
	for _, t := range o.sortedSuspects() {
		if !t.Losses.HasBoot(s.ref.Boot) {
			continue
		}
		left := t.Losses.WithoutBoot(s.ref.Boot)
		if n, runs := runningAttempt(r, t.Name()); runs && (len(left) > 0 || o.unheard && t.Step.Job.Restored) {
			if s.trial == nil && t.Losses.OnTrialAt(s.ref.Boot, n) {
				s.trial = &trial{tasks: []*jobs.Task{t}, since: o.now()}
			}
			left = t.Losses.ResetProvisional(s.ref.Boot, n)
		}
		t.SetLosses(left)
		o.log.Info().Str("event", "loss_taken_back").Str("task", t.Name()).Str("boot", s.ref.Boot).Int("losses", len(t.Losses)).Send()
		o.persist(t.Step.Job, false)
	}
}

// runningAttempt is the number of the attempt of a task that a report lists as running.
func runningAttempt(r *platform.WorkerReport, task string) (number int64, runs bool) {
	at := slices.IndexFunc(r.Running, func(a platform.RunningAttempt) bool { return a.Task == task })
	if at < 0 {
		return 0, false
	}
	return r.Running[at].Attempt, true
}

// failPoisonTasks gives up the tasks at a lost boot that are known to bring workers down.
func (o *Owner) failPoisonTasks(s *session, kind LossKind) {
	for _, t := range o.sortedSuspects() {
		if !t.Losses.HasBoot(s.ref.Boot) || o.mayBeAtNextBoot(t) {
			continue
		}
		if kind == LossEnded {
			t.SetLosses(t.Losses.MarkEnded(s.ref.Boot))
			o.persist(t.Step.Job, false)
		}
		o.failIfPoison(t)
	}
}

// failIfPoison ends the job of a task that is known to bring its workers down.
func (o *Owner) failIfPoison(t *jobs.Task) {
	j := t.Step.Job
	if t.Verdict() != blame.Poison || !o.book.GiveUp(t) {
		return
	}
	boots := zerolog.Arr()
	for _, l := range t.Losses {
		boots.Str(l.Boot)
	}
	o.cfg.Metrics.Job("given_up")
	o.log.Warn().Str("event", "task_given_up").Str("task", t.Name()).Str("queue", j.Queue).Str("account", j.Account).
		Array("workers_lost", boots).Str("why", "its workers are lost moments after its starts").Send()
	o.jobEnded(j)
}

// failRestoredPoison ends the jobs of tasks that former owners knew enough of: the one that
// counted the last loss may have gone before it had kept the end of the job.
func (o *Owner) failRestoredPoison() {
	for _, t := range o.sortedSuspects() {
		o.failIfPoison(t)
	}
}

// sortedSuspects returns the tasks that workers lost are counted against, by name.
func (o *Owner) sortedSuspects() []*jobs.Task {
	if len(o.suspects) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(o.suspects), func(a, b *jobs.Task) int { return cmp.Compare(a.Name(), b.Name()) })
}

// restoreSuspects finds the tasks that former owners have counted losses of.
func (o *Owner) restoreSuspects() {
	for _, j := range o.book.Active() {
		for _, s := range j.Steps {
			for _, t := range s.Tasks {
				if len(t.Losses) > 0 {
					o.suspects[t] = struct{}{}
					o.markUnrecordedEnded(t)
				}
			}
		}
	}
}

// markUnrecordedEnded makes sure of the losses at boots that the record of workers does not name any
// more: it names each to which a start was sent until that has ended or nothing of ours is there.
func (o *Owner) markUnrecordedEnded(t *jobs.Task) {
	if o.blind {
		return
	}
	for _, l := range t.Losses {
		if !l.Ended && o.sessions[l.Boot] == nil {
			t.SetLosses(t.Losses.MarkEnded(l.Boot))
		}
	}
}

// clearSuspects clears the tasks that have run for longer than they had when a worker was
// lost, as far as their worker has said so.
func (o *Owner) clearSuspects() {
	for _, t := range o.sortedSuspects() {
		if t.Done || t.Step.Job.State.Final() || len(t.Losses) == 0 {
			delete(o.suspects, t)
			continue
		}
		for _, a := range t.Attempts {
			r := o.running(a)
			if r == nil || r.confirmedAt == 0 || r.seenAt-r.confirmedAt < t.Losses.ClearAfter() {
				continue
			}
			o.log.Info().Str("event", "task_cleared").Str("task", t.Name()).Int64("attempt", r.Number).Str("boot", a.Boot).
				Dur("ran", r.seenAt-r.confirmedAt).Int("losses", len(t.Losses)).Send()
			t.SetLosses(nil)
			o.persist(t.Step.Job, false)
			delete(o.suspects, t)
			o.sessions[a.Boot].hostCache = nil
			break
		}
	}
}

// hasSuspect tells whether a watched task runs at a worker that may still bring it down.
func (s *session) hasSuspect() bool {
	for _, r := range s.attempts {
		if r.Task.Suspect() {
			return true
		}
	}
	return false
}

// suspectPollWait is how long a look at a worker with a watched task waits for an end, so that
// the task is cleared soon after it has run for long enough.
const suspectPollWait = 200 * time.Millisecond
