package fake

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// attempt is a running attempt of a task.
type attempt struct {
	number     int64
	needs      platform.Resources
	timer      *time.Timer
	stopping   bool
	started    time.Time
	duration   time.Duration // at normal speed, 0 to run until stopped
	stallAfter time.Duration // run time at which progress stops, 0 for never
	coldUntil  time.Time     // it runs at coldSpeed until then
	coldSpeed  float64
	saveEvery  time.Duration // work between two checkpoints, 0 for none
	restored   time.Duration // work that the checkpoint of its start had saved
}

// worked returns how long the work that the attempt has done takes at normal speed.
func (a *attempt) worked() time.Duration {
	now := time.Now()
	lost := time.Duration(0)
	if slow := min(now.Sub(a.started), a.coldUntil.Sub(a.started)); slow > 0 {
		lost = time.Duration(float64(slow) * (1 - a.coldSpeed))
	}
	return now.Sub(a.started) - lost
}

// checkpoint returns the last checkpoint that an attempt of a task has saved, empty for none. A stop
// saves another one.
func (a *attempt) checkpoint(task string, stopped bool) string {
	if a.saveEvery == 0 {
		return ""
	}
	saved := a.worked()
	if a.stallAfter > 0 {
		saved = min(saved, a.stallAfter)
	}
	if !stopped {
		saved = saved / a.saveEvery * a.saveEvery
	}
	if a.restored+saved == 0 {
		return ""
	}
	return Checkpoint{Task: task, Attempt: a.number, Work: a.restored + saved}.String()
}

// Checkpoint is what the text of a checkpoint holds; its zero value is no checkpoint.
type Checkpoint struct {
	Task    string // that saved it
	Attempt int64  // that saved it
	Work    time.Duration
}

// String returns the text of the checkpoint.
func (c Checkpoint) String() string { return fmt.Sprintf("%s@%d@%s", c.Task, c.Attempt, c.Work) }

// ParseCheckpoint returns what a checkpoint's text holds.
func ParseCheckpoint(text string) (c Checkpoint) {
	parts := strings.Split(text, "@")
	if len(parts) != 3 {
		return c
	}
	c.Task = parts[0]
	c.Attempt, _ = strconv.ParseInt(parts[1], 10, 64)
	c.Work, _ = time.ParseDuration(parts[2])
	return c
}

// runTime returns how long the attempt takes from its start.
func (a *attempt) runTime(work time.Duration) time.Duration {
	slow := a.coldUntil.Sub(a.started)
	if slow <= 0 {
		return work
	}
	return min(time.Duration(float64(work)/a.coldSpeed), work+time.Duration(float64(slow)*(1-a.coldSpeed)))
}

// startAttempt carries out a start order whose token and lease are valid. The caller holds mu.
func (w *Workers) startAttempt(b *boot, o platform.StartOrder) error {
	if a := b.running[o.Task]; a != nil && a.number == o.Attempt {
		return nil
	}
	if o.Attempt <= b.highestAttempt[o.Task] {
		return platform.ErrOrderRefused{Reason: platform.RefusedStaleAttempt, ClockMs: b.clock()}
	}
	work := w.work(o.Task, o.Spec)
	if !work.Needs.Fits(b.free) {
		if !w.allowOvercommit {
			return platform.ErrOrderRefused{Reason: platform.RefusedNoCapacity, ClockMs: b.clock()}
		}
		if !b.fitsNowOrRecently(work.Needs) {
			w.observer.Overcommitted(b.info.Boot, o.Task)
		}
	}
	b.free = b.free.Sub(work.Needs)
	duration := work.Duration
	if duration == 0 || w.stalls(b, o.Task) {
		duration = forever
	}
	reason := platform.EndDone
	if work.Fails {
		reason = platform.EndFailed
	}
	a := &attempt{
		number: o.Attempt, needs: work.Needs, started: time.Now(), duration: work.Duration,
		coldUntil: b.coldUntil, coldSpeed: b.coldSpeed, saveEvery: work.SaveEvery,
	}
	if a.saveEvery > 0 {
		a.restored = ParseCheckpoint(o.Checkpoint).Work
	}
	if w.stalls(b, o.Task) {
		a.stallAfter = work.Duration / 4
	}
	if duration != forever {
		duration = a.runTime(max(0, duration-a.restored))
	}
	a.timer = time.AfterFunc(duration, func() { w.finish(b, o.Task, a, reason) })
	b.running[o.Task] = a
	w.observer.Started(b.info.Boot, o.Task, o.Attempt, o.Checkpoint)
	switch {
	case work.Crashes && work.CrashAfter == 0:
		w.crashBoot(b, o.Task)
	case work.Crashes:
		time.AfterFunc(work.CrashAfter, func() { w.crashIfRunning(b, o.Task, a) })
	}
	return nil
}

// crashIfRunning ends the boot if the attempt is still running.
func (w *Workers) crashIfRunning(b *boot, task string, a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.running[task] == a {
		w.crashBoot(b, task)
	}
}

// finish ends an attempt unless it has ended already.
func (w *Workers) finish(b *boot, task string, a *attempt, reason platform.EndReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.running[task] == a && !b.dead {
		w.finishLocked(b, task, a, reason)
	}
}

// finishLocked ends an attempt and records its end. The caller holds mu.
func (w *Workers) finishLocked(b *boot, task string, a *attempt, reason platform.EndReason) {
	a.timer.Stop()
	delete(b.running, task)
	b.free = b.free.Add(a.needs)
	b.highestAttempt[task] = max(b.highestAttempt[task], a.number)
	b.lastSeq++
	b.ended = append(b.ended, platform.AttemptEnd{
		Seq: b.lastSeq, Task: task, Attempt: a.number, Reason: reason, Checkpoint: a.checkpoint(task, reason == platform.EndStopped),
	})
	w.observer.Ended(b.info.Boot, task, a.number, reason)
	close(b.changed)
	b.changed = make(chan struct{})
}

// percent returns the attempt's progress in percent.
func (a *attempt) percent() int {
	if a.duration == 0 {
		return 100
	}
	ran := a.worked()
	if a.stallAfter > 0 {
		ran = min(ran, a.stallAfter)
	}
	return int(100 * (a.restored + ran) / a.duration)
}

// stalls reports whether a task stalls on a boot.
func (w *Workers) stalls(b *boot, task string) bool {
	return w.stall != nil && w.stall(b.info.Boot, task)
}

// MaxLease is the longest lease that a worker grants; longer ones are shortened to it.
const MaxLease = 10 * time.Second

// extendLeases extends the leases of a boot's attempts to until, in ms of the boot's clock.
func (w *Workers) extendLeases(b *boot, until int64) {
	until = min(until, b.clock()+MaxLease.Milliseconds())
	if until <= b.leaseUntil {
		return
	}
	b.leaseUntil = until
	if b.leaseTimer != nil {
		b.leaseTimer.Stop()
	}
	left := time.Duration(float64(until-b.clock())/(1-b.drift)) * time.Millisecond
	b.leaseTimer = time.AfterFunc(left, func() { w.expireLeases(b, until) })
}

func (w *Workers) expireLeases(b *boot, until int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.dead || b.leaseUntil != until {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(b.running)) {
		w.finishLocked(b, task, b.running[task], platform.EndLeaseExpired)
	}
	b.lapsedSeq = b.lastSeq
}

// acknowledge drops the ends up to a sequence number from later reports.
func (w *Workers) acknowledge(b *boot, upTo int64) {
	for _, e := range b.ended {
		if e.Seq <= upTo {
			w.observer.Acked(b.info.Boot, e, e.Seq > b.lapsedSeq && w.endOmissions[b.info.Boot][e.Seq] <= 0)
		}
	}
	b.ackedSeq = max(b.ackedSeq, upTo)
	b.ended = slices.DeleteFunc(b.ended, func(e platform.AttemptEnd) bool { return e.Seq <= b.ackedSeq })
}

// report returns a boot's report with its running and ended attempts.
func (w *Workers) report(b *boot) platform.WorkerReport {
	r := platform.WorkerReport{ClockMs: b.clock(), BootedAtMs: b.bootedAtMs, Ended: slices.Clone(b.ended)}
	if !b.endsAt.IsZero() {
		r.Draining, r.Remaining = true, max(0, time.Until(b.endsAt))
	}
	for _, task := range slices.Sorted(maps.Keys(b.running)) {
		a := b.running[task]
		r.Running = append(r.Running, platform.RunningAttempt{Task: task, Attempt: a.number, Percent: a.percent(), Checkpoint: a.checkpoint(task, false)})
	}
	w.omitEnds(b, &r)
	if r.MoreEnds = len(r.Ended) >= w.maxListedEnds; r.MoreEnds {
		r.Ended = r.Ended[:w.maxListedEnds]
	}
	if w.forgetListed {
		b.ended = slices.DeleteFunc(b.ended, func(e platform.AttemptEnd) bool { return slices.Contains(r.Ended, e) })
	}
	return r
}

// omitEnds removes ends from a report as requested by [Workers.OmitEnd].
func (w *Workers) omitEnds(b *boot, r *platform.WorkerReport) {
	left := w.endOmissions[b.info.Boot]
	if left == nil {
		return
	}
	r.Ended = slices.DeleteFunc(r.Ended, func(e platform.AttemptEnd) bool {
		left[e.Seq]--
		return left[e.Seq] >= 0
	})
}

// attemptKey identifies an attempt.
type attemptKey struct {
	task   string
	number int64
}

// omitItem removes one running or ended attempt from every omitEvery-th report of a boot. An
// attempt is omitted at most once.
func (w *Workers) omitItem(b *boot, r *platform.WorkerReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b.reportCount++
	if w.omitEvery == 0 || b.reportCount%w.omitEvery != 0 {
		return
	}
	once := func(task string, number int64) bool {
		key := attemptKey{task: task, number: number}
		if b.omitted[key] {
			return false
		}
		b.omitted[key] = true
		return true
	}
	for i, e := range r.Ended {
		if once(e.Task, e.Attempt) {
			r.Ended = slices.Delete(r.Ended, i, i+1)
			return
		}
	}
	for i, a := range r.Running {
		if once(a.Task, a.Attempt) {
			r.Running = slices.Delete(r.Running, i, i+1)
			return
		}
	}
}
