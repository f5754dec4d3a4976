package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quarantine"
)

// countLosses counts the loss of a worker against the tasks there.
func (o *Owner) countLosses(s *session) {
	now := o.now()
	o.keepCheckpoints(s)
	if s.lossCounted || s.leavesAsPlanned(now) {
		return
	}
	s.lossCounted = true
	var sent []*workerAttempt
	var attempts []quarantine.Attempt
	for _, r := range sortedByKey(s.attempts) {
		if r.sent() {
			sent = append(sent, r)
			attempts = append(attempts, quarantine.Attempt{Ran: s.ranFor(r, now), Trial: s.inTrial(r)})
		}
	}
	for i, counted := range quarantine.Counted(attempts) {
		if counted {
			o.countLoss(s, sent[i], attempts[i])
		}
	}
}

// leavesAsPlanned reports whether a worker was about to leave before it was lost, so that the loss is
// not counted. A worker that leaves unannounced still answers after its directory row has gone; the
// row of one that crashed may go before its silence is noticed.
func (s *session) leavesAsPlanned(now time.Duration) bool {
	return s.draining || s.cordonedUntil > s.lostAt(now) || s.unlistedAt > 0 && s.clockAt > s.unlistedAt
}

func (o *Owner) countLoss(s *session, r *workerAttempt, a quarantine.Attempt) {
	t := r.Task
	t.SetLosses(t.Losses.With(quarantine.Loss{Attempt: r.Number, Boot: s.ref.Boot, Ran: a.Ran, Trial: a.Trial, Delivered: r.startConfirmedAt > 0 || r.connLost}))
	o.suspects[t] = struct{}{}
	o.log.Info().Str("event", "loss_counted").Str("task", t.Name()).Int64("attempt", r.Number).Str("boot", s.ref.Boot).
		Dur("ran", a.Ran).Bool("trial", a.Trial).Bool("firm", r.startConfirmedAt > 0 || r.connLost).Int("losses", len(t.Losses)).Str("verdict", string(t.Restriction())).Send()
	o.persist(t.Step.Job, true)
}

// retractBootLosses removes the losses at a boot that still runs, as its report shows. If a task with
// other losses still runs there, a provisional loss is recorded again, and a worker with a trial is
// reserved again. Otherwise the next owner might start a crashing task beside the one in the trial.
func (o *Owner) retractBootLosses(s *session, r *platform.WorkerReport) {
	s.lossCounted = false
	for _, t := range o.sortedSuspects() {
		if !t.Losses.HasBoot(s.ref.Boot) {
			continue
		}
		losses := t.Losses.WithoutBoot(s.ref.Boot)
		if n, runs := runningAttempt(r, t.Name()); runs && (len(losses) > 0 || o.unreportedLoss && t.Step.Job.Restored) {
			if s.trial == nil && t.Losses.InTrialAt(s.ref.Boot, n) {
				s.trial = &trial{tasks: []*jobs.Task{t}, since: o.now()}
			}
			losses = t.Losses.ResetProvisional(s.ref.Boot, n)
		}
		t.SetLosses(losses)
		o.log.Info().Str("event", "loss_taken_back").Str("task", t.Name()).Str("boot", s.ref.Boot).Int("losses", len(t.Losses)).Send()
		o.persist(t.Step.Job, false)
	}
}

// runningAttempt returns the number of the attempt of a task that a report lists as running.
func runningAttempt(r *platform.WorkerReport, task string) (number int64, runs bool) {
	at := slices.IndexFunc(r.Running, func(a platform.RunningAttempt) bool { return a.Task == task })
	if at < 0 {
		return 0, false
	}
	return r.Running[at].Attempt, true
}

// failPoisonTasks fails the jobs of tasks at a lost boot that are known to crash their workers.
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

// failIfPoison fails the job of a task that is known to crash its workers.
func (o *Owner) failIfPoison(t *jobs.Task) {
	j := t.Step.Job
	if t.Restriction() != quarantine.Poison || !o.registry.Fail(t.Step.Job) {
		return
	}
	boots := zerolog.Arr()
	for _, l := range t.Losses {
		boots.Str(l.Boot)
	}
	o.cfg.Metrics.Job("given_up")
	o.log.Warn().Str("event", "task_given_up").Str("task", t.Name()).Str("queue", j.Queue).Str("account", j.Account).
		Array("workers_lost", boots).Str("why", "its workers were lost right after it started").Send()
	o.jobEnded(j)
}

// failRestoredPoison fails the jobs of poison tasks that a former owner has recorded without
// storing the end of their jobs.
func (o *Owner) failRestoredPoison() {
	for _, t := range o.sortedSuspects() {
		o.failIfPoison(t)
	}
}

// sortedSuspects returns the tasks with losses, by name.
func (o *Owner) sortedSuspects() []*jobs.Task {
	if len(o.suspects) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(o.suspects), func(a, b *jobs.Task) int { return cmp.Compare(a.Name(), b.Name()) })
}

// restoreSuspects collects the tasks with losses that former owners have recorded.
func (o *Owner) restoreSuspects() {
	for _, j := range o.registry.Active() {
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

// markUnrecordedEnded marks the losses at boots that the record of workers no longer names as ended.
// The record names each boot that was sent a start until the boot has ended or runs no task of this shard.
func (o *Owner) markUnrecordedEnded(t *jobs.Task) {
	if o.recordUnreadable {
		return
	}
	for _, l := range t.Losses {
		if !l.Ended && o.sessions[l.Boot] == nil {
			t.SetLosses(t.Losses.MarkEnded(l.Boot))
		}
	}
}

// clearSuspects clears the tasks that have run for long enough, as reported by their worker.
func (o *Owner) clearSuspects() {
	for _, t := range o.sortedSuspects() {
		if t.Done || t.Step.Job.State.Final() || len(t.Losses) == 0 {
			delete(o.suspects, t)
			continue
		}
		for _, a := range t.Attempts {
			r := o.findAttempt(a)
			if r == nil || r.startConfirmedAt == 0 || r.reportedAt-r.startConfirmedAt < t.Losses.ClearAfter() {
				continue
			}
			o.log.Info().Str("event", "task_cleared").Str("task", t.Name()).Int64("attempt", r.Number).Str("boot", a.Boot).
				Dur("ran", r.reportedAt-r.startConfirmedAt).Int("losses", len(t.Losses)).Send()
			t.SetLosses(nil)
			o.persist(t.Step.Job, false)
			delete(o.suspects, t)
			o.sessions[a.Boot].hostCache = nil
			break
		}
	}
}

// hasSuspectedTask reports whether a suspected task runs at a worker.
func (s *session) hasSuspectedTask() bool {
	for _, r := range s.attempts {
		if r.Task.Suspect() {
			return true
		}
	}
	return false
}

// suspectPollWait is how long a poll of a worker with a suspected task waits for an attempt to end,
// so that the task is cleared soon after it has run for long enough.
const suspectPollWait = 200 * time.Millisecond
