package fake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// OrderOp names an order to a worker.
type OrderOp string

// The kinds of orders.
const (
	OrderStart    OrderOp = "start"
	OrderStop     OrderOp = "stop"
	OrderRenew    OrderOp = "renew"
	OrderThrottle OrderOp = "pace"
)

// workersView is the workers as one entry reaches them.
type workersView struct {
	w     *Workers
	entry string
}

// As returns the workers as seen by one entry, whose name is passed to the fault function.
func (w *Workers) As(entry string) platform.Workers { return &workersView{w: w, entry: entry} }

// sendOrder runs do under the lock as one order, with the fault for it. task is empty for renewals.
func (v *workersView) sendOrder(ctx context.Context, op OrderOp, ref platform.WorkerRef, task string, do func(b *boot) error) error {
	jitterKey := []string{string(op), ref.Boot, v.entry, task}
	v.w.mu.Lock()
	fault := v.w.fault(op, ref.Boot, v.entry)
	v.w.mu.Unlock()
	if err := pause.For(ctx, v.w.latency+v.w.jitter.delay(jitterKey...)); err != nil {
		v.w.jitter.sleep(jitterKey...)
		return platform.ErrUnknown{Op: string(op), Cause: err.Error()}
	}
	lost := func() error {
		v.w.jitter.waitDone(ctx, jitterKey...)
		return platform.ErrUnknown{Op: string(op), Cause: ctx.Err().Error()}
	}
	switch fault {
	case FaultDown:
		return platform.ErrNotDone{Op: string(op), Cause: "connection refused"}
	case FaultLostBefore:
		return lost()
	case FaultLate:
		v.applyLate(ref, do)
		return lost()
	}
	err := v.apply(ref, do)
	if fault == FaultLostAfter || v.w.dropsAnswer(ref, err) {
		return lost()
	}
	return err
}

// applyLate runs do after lateDelay on the boot that received the order, unless that boot has
// ended by then, or on the boot that is there by then.
func (v *workersView) applyLate(ref platform.WorkerRef, do func(b *boot) error) {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	target := v.w.resolve(ref)
	time.AfterFunc(v.w.lateDelay, func() {
		v.w.mu.Lock()
		defer v.w.mu.Unlock()
		if v.w.lateAtNextBoot {
			target = v.w.resolve(ref)
		}
		if target != nil && !target.dead {
			_ = do(target)
		}
	})
}

// apply runs do under the lock on the boot that receives the order.
func (v *workersView) apply(ref platform.WorkerRef, do func(b *boot) error) error {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	if b := v.w.resolve(ref); b != nil {
		err := do(b)
		if b.dead {
			return platform.ErrUnknown{Op: "order", Cause: "connection was closed"}
		}
		return err
	}
	for _, other := range v.w.boots {
		if !other.dead && other.info.Address == ref.Address {
			return platform.ErrOtherBoot{Boot: other.info.Boot}
		}
	}
	return platform.ErrNotDone{Op: "order", Cause: "connection refused"}
}

// dropsAnswer reports whether a failed call to an ended boot times out instead of being refused.
func (w *Workers) dropsAnswer(ref platform.WorkerRef, err error) bool {
	if err == nil || errors.As(err, new(platform.ErrOtherBoot)) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.boots[ref.Boot]
	return w.blackhole && b != nil && b.dead
}

// checkToken refuses an order with a lower fencing token than seen before.
func (w *Workers) checkToken(b *boot, token int64) error {
	if token < b.token && !w.unfenced {
		return platform.ErrOrderRefused{Reason: platform.RefusedStaleToken, ClockMs: b.clock()}
	}
	b.token = max(b.token, token)
	return nil
}

// StartAttempt implements platform.Workers.
func (v *workersView) StartAttempt(ctx context.Context, ref platform.WorkerRef, o platform.StartOrder) (clock int64, err error) {
	err = v.sendOrder(ctx, OrderStart, ref, o.Task, func(b *boot) error {
		if err := v.w.checkToken(b, o.Token); err != nil {
			return err
		}
		clock = b.clock()
		if o.LeaseUntil <= clock {
			return platform.ErrOrderRefused{Reason: platform.RefusedLeaseExpired, ClockMs: clock}
		}
		v.w.extendLeases(b, o.LeaseUntil)
		return v.w.startAttempt(b, o)
	})
	return clock, err
}

// StopAttempt implements platform.Workers.
func (v *workersView) StopAttempt(ctx context.Context, ref platform.WorkerRef, o platform.StopOrder) (clock int64, err error) {
	err = v.sendOrder(ctx, OrderStop, ref, o.Task, func(b *boot) error {
		if err := v.w.checkToken(b, o.Token); err != nil {
			return err
		}
		clock = b.clock()
		b.highestAttempt[o.Task] = max(b.highestAttempt[o.Task], o.Attempt)
		if a := b.running[o.Task]; a != nil && a.number <= o.Attempt && !a.stopping {
			a.stopping = true
			time.AfterFunc(v.w.stopTime, func() { v.w.finish(b, o.Task, a, platform.EndStopped) })
		}
		return nil
	})
	return clock, err
}

// ThrottleAttempt implements platform.Workers.
func (v *workersView) ThrottleAttempt(ctx context.Context, ref platform.WorkerRef, o platform.ThrottleOrder) (clock int64, err error) {
	err = v.sendOrder(ctx, OrderThrottle, ref, o.Task, func(b *boot) error {
		clock = b.clock()
		return v.w.checkToken(b, o.Token)
	})
	return clock, err
}

// RenewLeases implements platform.Workers.
func (v *workersView) RenewLeases(ctx context.Context, ref platform.WorkerRef, o platform.RenewOrder) (report platform.WorkerReport, err error) {
	var changed chan struct{}
	var answering *boot
	renew := func(b *boot) error {
		if err := v.w.checkToken(b, o.Token); err != nil {
			return err
		}
		v.w.extendLeases(b, o.LeaseUntil)
		v.w.acknowledge(b, o.AckedSeq)
		report, changed, answering = v.w.report(b), b.changed, b
		return nil
	}
	if err := v.sendOrder(ctx, OrderRenew, ref, "", renew); err != nil {
		return report, err
	}
	defer func() { v.w.omitItem(answering, &report) }()
	if o.Wait <= 0 || len(report.Ended) > 0 || changed == nil {
		return report, nil
	}
	t := time.NewTimer(o.Wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	v.w.jitter.sleep(string(OrderRenew), ref.Boot, v.entry)
	if ctx.Err() != nil {
		return report, platform.ErrUnknown{Op: string(OrderRenew), Cause: ctx.Err().Error()}
	}
	err = v.apply(ref, func(b *boot) error {
		if b != answering {
			return platform.ErrUnknown{Op: string(OrderRenew), Cause: "connection was closed"}
		}
		report = v.w.report(b)
		return nil
	})
	if err == nil && v.w.losesAnswer(OrderRenew, ref.Boot, v.entry) {
		v.w.jitter.waitDone(ctx, string(OrderRenew), ref.Boot, v.entry)
		err = platform.ErrUnknown{Op: string(OrderRenew), Cause: ctx.Err().Error()}
	}
	return report, err
}

// losesAnswer reports whether a fault suppresses an answer sent now.
func (w *Workers) losesAnswer(op OrderOp, boot, entry string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault(op, boot, entry) != FaultNone
}
