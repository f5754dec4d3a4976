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

// blameAfter is how many calls in a row a worker leaves unanswered before its loss is
// counted against what is there. It is not certain then, and taken back if the boot
// answers again; but a worker that was brought down is known to have ended only when its
// next boot answers, 3 s later, and an owner that goes meanwhile takes what it knows along.
const blameAfter = 2

// blame counts the loss of a worker against the tasks there.
func (o *Owner) blame(s *session) {
	now := o.now()
	if s.lossCounted || s.leavesByPlan(now) {
		return
	}
	s.lossCounted = true
	var at []*workerAttempt
	var attempts []blame.Attempt
	for _, r := range sortedByKey(s.attempts) {
		if r.sent() {
			at = append(at, r)
			attempts = append(attempts, blame.Attempt{Ran: s.ranFor(r, now), Trial: s.tries(r)})
		}
	}
	for i, counted := range blame.Counted(attempts) {
		if counted {
			o.countLoss(s, at[i], attempts[i])
		}
	}
}

// leavesByPlan tells whether a worker was about to go before it was lost, so that its loss
// says nothing of its tasks. One that leaves without a word answers after its row has gone;
// the row of one that was brought down may go before its silence is noticed.
func (s *session) leavesByPlan(now time.Duration) bool {
	return s.draining || s.cordonedUntil > s.lostAt(now) || s.unlistedAt > 0 && s.clockAt > s.unlistedAt
}

func (o *Owner) countLoss(s *session, r *workerAttempt, a blame.Attempt) {
	t := r.Task
	t.SetLosses(t.Losses.With(blame.Loss{Attempt: r.Number, Boot: s.ref.Boot, Ran: a.Ran, Trial: a.Trial, Firm: r.confirmedAt > 0 || r.connLost}))
	o.suspects[t] = struct{}{}
	o.log.Info().Str("event", "loss_counted").Str("task", t.Name()).Int64("attempt", r.Number).Str("boot", s.ref.Boot).
		Dur("ran", a.Ran).Bool("trial", a.Trial).Bool("firm", r.confirmedAt > 0 || r.connLost).Int("losses", len(t.Losses)).Str("verdict", string(t.Verdict())).Send()
	o.keep(t.Step.Job, true)
}

// pardon takes back the losses of a boot that is alive, as its report shows. A start of a task that
// has others, which runs there still, is noted ahead again; if it was on trial, the worker is kept
// for it again. A next owner that knew of neither started a crashing task beside the one on trial,
// and gave up its job, which had done nothing (TestInnocentOnTrialAtTakeover).
func (o *Owner) pardon(s *session, r *platform.WorkerReport) {
	s.lossCounted = false
	for _, t := range o.suspectsInOrder() {
		if !t.Losses.At(s.ref.Boot) {
			continue
		}
		left := t.Losses.Without(s.ref.Boot)
		if n, runs := runningThere(r, t.Name()); runs && (len(left) > 0 || o.unheardLoss && t.Step.Job.Restored) {
			if s.trial == nil && t.Losses.OnTrialAt(s.ref.Boot, n) {
				s.trial = &trial{tasks: []*jobs.Task{t}, since: o.now()}
			}
			left = t.Losses.HeardWith(s.ref.Boot, n)
		}
		t.SetLosses(left)
		o.log.Info().Str("event", "loss_taken_back").Str("task", t.Name()).Str("boot", s.ref.Boot).Int("losses", len(t.Losses)).Send()
		o.keep(t.Step.Job, false)
	}
}

// runningThere is the number of the attempt of a task that a report lists as running.
func runningThere(r *platform.WorkerReport, task string) (number int64, runs bool) {
	at := slices.IndexFunc(r.Running, func(a platform.RunningAttempt) bool { return a.Task == task })
	if at < 0 {
		return 0, false
	}
	return r.Running[at].Attempt, true
}

// judge gives up the tasks at a lost boot that are known to bring workers down.
func (o *Owner) judge(s *session, kind LossKind) {
	for _, t := range o.suspectsInOrder() {
		if !t.Losses.At(s.ref.Boot) || o.unsettled(t) {
			continue
		}
		if kind == LossEnded {
			t.SetLosses(t.Losses.Confirmed(s.ref.Boot))
			o.keep(t.Step.Job, false)
		}
		o.giveUpGuilty(t)
	}
}

// giveUpGuilty ends the job of a task that is known to bring its workers down.
func (o *Owner) giveUpGuilty(t *jobs.Task) {
	j := t.Step.Job
	if t.Verdict() != blame.Guilty || !o.book.GiveUp(t) {
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

// giveUpRestored ends the jobs of tasks that former owners knew enough of: the one that
// counted the last loss may have gone before it had kept the end of the job.
func (o *Owner) giveUpRestored() {
	for _, t := range o.suspectsInOrder() {
		o.giveUpGuilty(t)
	}
}

// suspectsInOrder returns the tasks that workers lost are counted against, by name.
func (o *Owner) suspectsInOrder() []*jobs.Task {
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
					o.confirmUnrecorded(t)
				}
			}
		}
	}
}

// confirmUnrecorded makes sure of the losses at boots that the record of workers does not name any
// more: it names each to which a start was sent until that has ended or nothing of ours is there.
func (o *Owner) confirmUnrecorded(t *jobs.Task) {
	if o.recordUnreadable {
		return
	}
	for _, l := range t.Losses {
		if !l.Sure && o.sessions[l.Boot] == nil {
			t.SetLosses(t.Losses.Confirmed(l.Boot))
		}
	}
}

// clearSuspects clears the tasks that have run for longer than they had when a worker was
// lost, as far as their worker has said so.
func (o *Owner) clearSuspects() {
	for _, t := range o.suspectsInOrder() {
		if t.Done || t.Step.Job.State.Final() || len(t.Losses) == 0 {
			delete(o.suspects, t)
			continue
		}
		for _, a := range t.Attempts {
			r := o.findAttempt(a)
			if r == nil || r.confirmedAt == 0 || r.reportedAt-r.confirmedAt < t.Losses.WatchFor() {
				continue
			}
			o.log.Info().Str("event", "task_cleared").Str("task", t.Name()).Int64("attempt", r.Number).Str("boot", a.Boot).
				Dur("ran", r.reportedAt-r.confirmedAt).Int("losses", len(t.Losses)).Send()
			t.SetLosses(nil)
			o.keep(t.Step.Job, false)
			delete(o.suspects, t)
			o.sessions[a.Boot].hostCache = nil
			break
		}
	}
}

// watches tells whether a watched task runs at a worker that may still bring it down.
func (s *session) watches() bool {
	for _, r := range s.attempts {
		if r.Task.Suspect() {
			return true
		}
	}
	return false
}

// watchLook is how long a look at a worker with a watched task waits for an end, so that
// the task is cleared soon after it has run for long enough.
const watchLook = 200 * time.Millisecond
