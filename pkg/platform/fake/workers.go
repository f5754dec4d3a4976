package fake

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// OrderOp names an order to a worker.
type OrderOp string

// The orders.
const (
	OrderStart OrderOp = "start"
	OrderStop  OrderOp = "stop"
	OrderRenew OrderOp = "renew"
	OrderPace  OrderOp = "pace"
)

// forever is longer than any test.
const forever = 100 * time.Hour

// Work is what a task does at a worker.
type Work struct {
	Needs    platform.Resources
	Duration time.Duration // 0 to run until it is stopped
	Fails    bool          // at its end
}

// Witness is told what workers do; a test checks its promises by it.
type Witness interface {
	Started(boot, task string, attempt int64)
	Ended(boot, task string, attempt int64, reason platform.EndReason)
	Acked(boot, task string, reason platform.EndReason)
}

// Workers is a stand-in of the workers of a deployment.
type Workers struct {
	latency  time.Duration
	lateBy   time.Duration
	stopTime time.Duration
	work     func(task, spec string) Work
	witness  Witness

	mu    sync.Mutex
	fault func(op OrderOp, boot, entry string) Fault
	stall func(boot, task string) bool
	boots map[string]*boot
}

// boot is one boot of a worker.
type boot struct {
	info    platform.Worker
	start   time.Time
	drift   float64 // how much slower its clock runs, 0.02 for 2%
	dead    bool
	token   int64
	running map[string]*attempt
	ended   []platform.AttemptEnd
	last    int64 // number of the last end
	acked   int64
	highest map[string]int64 // attempt that ended or was stopped here, by task
	lease   int64            // deadline by the worker's clock
	lapse   *time.Timer
	free    platform.Resources
	changed chan struct{}
}

type attempt struct {
	number   int64
	needs    platform.Resources
	timer    *time.Timer
	ending   bool
	started  time.Time
	duration time.Duration // 0 for a task that runs until it is stopped
	stalled  time.Duration // progress at which it stands still, 0 for never
}

// NewWorkers returns no workers yet; orders take latency, those carried out late
// lateBy, and tasks stopTime to end once they are told to.
func NewWorkers(latency, lateBy, stopTime time.Duration, work func(task, spec string) Work, w Witness) *Workers {
	return &Workers{
		latency: latency, lateBy: lateBy, stopTime: stopTime, work: work, witness: w,
		fault: func(OrderOp, string, string) Fault { return FaultNone }, boots: map[string]*boot{},
	}
}

// SetFault decides about each order from now on.
func (w *Workers) SetFault(f func(op OrderOp, boot, entry string) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Boot starts a worker, in place of an earlier boot at the same address.
func (w *Workers) Boot(info platform.Worker, drift float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, old := range w.boots {
		if old.info.Address == info.Address {
			w.end(old)
		}
	}
	w.boots[info.Boot] = &boot{
		info: info, start: time.Now(), drift: drift, running: map[string]*attempt{}, highest: map[string]int64{},
		free: info.Capacity, changed: make(chan struct{}),
	}
}

// Crash ends a boot; what ran there is gone.
func (w *Workers) Crash(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(w.boots[name])
}

func (w *Workers) end(b *boot) {
	if b.dead {
		return
	}
	b.dead = true
	for task, a := range b.running {
		a.timer.Stop()
		w.witness.Ended(b.info.Boot, task, a.number, "crashed")
	}
	b.running = map[string]*attempt{}
}

// Running returns the tasks that run at a boot, in order.
func (w *Workers) Running(name string) (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.boots[name].running {
		tasks = append(tasks, t)
	}
	slices.Sort(tasks)
	return tasks
}

func (b *boot) clock() int64 {
	return int64(float64(time.Since(b.start).Milliseconds()) * (1 - b.drift))
}

// As returns the workers as one entry reaches them.
func (w *Workers) As(entry string) platform.Workers { return &workersView{w: w, entry: entry} }

type workersView struct {
	w     *Workers
	entry string
}

// call carries one order out under the fault in force; do runs under the lock.
func (v *workersView) call(ctx context.Context, op OrderOp, ref platform.WorkerRef, do func(b *boot) error) error {
	v.w.mu.Lock()
	fault := v.w.fault(op, ref.Boot, v.entry)
	v.w.mu.Unlock()
	if err := sleep(ctx, v.w.latency); err != nil {
		return platform.ErrUnknown{Op: string(op), Cause: err.Error()}
	}
	lost := func() error {
		<-ctx.Done()
		return platform.ErrUnknown{Op: string(op), Cause: ctx.Err().Error()}
	}
	switch fault {
	case FaultDown:
		return platform.ErrNotDone{Op: string(op), Cause: "connection refused"}
	case FaultLostBefore:
		return lost()
	case FaultLate:
		time.AfterFunc(v.w.lateBy, func() { _ = v.apply(ref, do) })
		return lost()
	}
	err := v.apply(ref, do)
	if fault == FaultLostAfter {
		return lost()
	}
	return err
}

func (v *workersView) apply(ref platform.WorkerRef, do func(b *boot) error) error {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	b := v.w.boots[ref.Boot]
	if b != nil && !b.dead {
		return do(b)
	}
	for _, other := range v.w.boots {
		if !other.dead && other.info.Address == ref.Address {
			return platform.ErrOtherBoot{Boot: other.info.Boot}
		}
	}
	return platform.ErrNotDone{Op: "order", Cause: "connection refused"}
}

// admit checks an order's token.
func (b *boot) admit(token int64) error {
	if token < b.token {
		return platform.ErrOrderRefused{Reason: platform.RefusedToken, ClockMs: b.clock()}
	}
	b.token = token
	return nil
}

// StartAttempt implements platform.Workers.
func (v *workersView) StartAttempt(ctx context.Context, ref platform.WorkerRef, o platform.StartOrder) (clock int64, err error) {
	err = v.call(ctx, OrderStart, ref, func(b *boot) error {
		if err := b.admit(o.Token); err != nil {
			return err
		}
		clock = b.clock()
		if o.LeaseUntil <= clock {
			return platform.ErrOrderRefused{Reason: platform.RefusedLate, ClockMs: clock}
		}
		v.w.extend(b, o.LeaseUntil)
		return v.w.begin(b, o)
	})
	return clock, err
}

func (w *Workers) begin(b *boot, o platform.StartOrder) error {
	if a := b.running[o.Task]; a != nil && a.number == o.Attempt {
		return nil
	}
	if o.Attempt <= b.highest[o.Task] {
		return platform.ErrOrderRefused{Reason: platform.RefusedOld, ClockMs: b.clock()}
	}
	work := w.work(o.Task, o.Spec)
	if !work.Needs.Fits(b.free) {
		return platform.ErrOrderRefused{Reason: platform.RefusedRoom, ClockMs: b.clock()}
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
	a := &attempt{number: o.Attempt, needs: work.Needs, started: time.Now(), duration: work.Duration}
	if w.stalls(b, o.Task) {
		a.stalled = work.Duration / 4
	}
	a.timer = time.AfterFunc(duration, func() { w.finish(b, o.Task, a, reason) })
	b.running[o.Task] = a
	w.witness.Started(b.info.Boot, o.Task, o.Attempt)
	return nil
}

func (w *Workers) finish(b *boot, task string, a *attempt, reason platform.EndReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.running[task] == a && !b.dead {
		w.finishLocked(b, task, a, reason)
	}
}

func (w *Workers) finishLocked(b *boot, task string, a *attempt, reason platform.EndReason) {
	a.timer.Stop()
	delete(b.running, task)
	b.free = b.free.Add(a.needs)
	b.highest[task] = max(b.highest[task], a.number)
	b.last++
	b.ended = append(b.ended, platform.AttemptEnd{Number: b.last, Task: task, Attempt: a.number, Reason: reason})
	w.witness.Ended(b.info.Boot, task, a.number, reason)
	close(b.changed)
	b.changed = make(chan struct{})
}

// percent is the progress that is reported.
func (a *attempt) percent() int {
	if a.duration == 0 {
		return 100
	}
	ran := time.Since(a.started)
	if a.stalled > 0 {
		ran = min(ran, a.stalled)
	}
	return int(100 * ran / a.duration)
}

// stalls tells whether tasks stand still at a boot.
func (w *Workers) stalls(b *boot, task string) bool {
	return w.stall != nil && w.stall(b.info.Boot, task)
}

// SetStall decides for each task that starts from now on whether it stands still.
func (w *Workers) SetStall(f func(boot, task string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stall = f
}

// extend moves the deadline of the leases; it is never shortened.
func (w *Workers) extend(b *boot, until int64) {
	if until <= b.lease {
		return
	}
	b.lease = until
	if b.lapse != nil {
		b.lapse.Stop()
	}
	left := time.Duration(float64(until-b.clock())/(1-b.drift)) * time.Millisecond
	b.lapse = time.AfterFunc(left, func() { w.lapse(b, until) })
}

func (w *Workers) lapse(b *boot, until int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.dead || b.lease != until {
		return
	}
	for task, a := range b.running {
		w.finishLocked(b, task, a, platform.EndLapsed)
	}
}

// StopAttempt implements platform.Workers.
func (v *workersView) StopAttempt(ctx context.Context, ref platform.WorkerRef, o platform.StopOrder) (clock int64, err error) {
	err = v.call(ctx, OrderStop, ref, func(b *boot) error {
		if err := b.admit(o.Token); err != nil {
			return err
		}
		clock = b.clock()
		b.highest[o.Task] = max(b.highest[o.Task], o.Attempt)
		if a := b.running[o.Task]; a != nil && a.number <= o.Attempt && !a.ending {
			a.ending = true
			time.AfterFunc(v.w.stopTime, func() { v.w.finish(b, o.Task, a, platform.EndStopped) })
		}
		return nil
	})
	return clock, err
}

// PaceAttempt implements platform.Workers.
func (v *workersView) PaceAttempt(ctx context.Context, ref platform.WorkerRef, o platform.PaceOrder) (clock int64, err error) {
	err = v.call(ctx, OrderPace, ref, func(b *boot) error {
		clock = b.clock()
		return b.admit(o.Token)
	})
	return clock, err
}

// RenewLeases implements platform.Workers.
func (v *workersView) RenewLeases(ctx context.Context, ref platform.WorkerRef, o platform.RenewOrder) (report platform.WorkerReport, err error) {
	var changed chan struct{}
	look := func(b *boot) error {
		if err := b.admit(o.Token); err != nil {
			return err
		}
		v.w.extend(b, o.LeaseUntil)
		v.w.acknowledge(b, o.AckedEnd)
		report, changed = b.report(), b.changed
		return nil
	}
	if err := v.call(ctx, OrderRenew, ref, look); err != nil {
		return report, err
	}
	if o.Wait <= 0 || len(report.Ended) > 0 || changed == nil {
		return report, nil
	}
	t := time.NewTimer(o.Wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return report, platform.ErrUnknown{Op: string(OrderRenew), Cause: ctx.Err().Error()}
	}
	err = v.apply(ref, func(b *boot) error {
		report = b.report()
		return nil
	})
	if err == nil && v.w.silent(OrderRenew, ref.Boot, v.entry) {
		<-ctx.Done()
		err = platform.ErrUnknown{Op: string(OrderRenew), Cause: ctx.Err().Error()}
	}
	return report, err
}

// silent tells whether an answer that is due now would be lost.
func (w *Workers) silent(op OrderOp, boot, entry string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault(op, boot, entry) != FaultNone
}

func (w *Workers) acknowledge(b *boot, upTo int64) {
	for _, e := range b.ended {
		if e.Number <= upTo && e.Number > b.acked {
			w.witness.Acked(b.info.Boot, e.Task, e.Reason)
		}
	}
	b.acked = max(b.acked, upTo)
	b.ended = slices.DeleteFunc(b.ended, func(e platform.AttemptEnd) bool { return e.Number <= b.acked })
}

func (b *boot) report() platform.WorkerReport {
	r := platform.WorkerReport{ClockMs: b.clock(), Ended: slices.Clone(b.ended)}
	for task, a := range b.running {
		r.Running = append(r.Running, platform.RunningAttempt{Task: task, Attempt: a.number, Percent: a.percent()})
	}
	return r
}
