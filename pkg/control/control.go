package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/fleet"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Table is the entry's replica of the fleet table; it is implemented by package replica.
type Table interface {
	Snapshot() *table.Snapshot
	Commit(ctx context.Context, e *table.Edit) (*schema.Entry, error)
}

const (
	defaultInterval = 500 * time.Millisecond
	defaultLease    = 5 * time.Second
	commitTimeout   = 3 * time.Second
)

// Loop is the control loop of one entry.
type Loop struct {
	name       string
	table      Table
	platform   platform.Platform
	observer   *Observer
	limits     fleet.Limits
	interval   time.Duration
	lease      *lease
	log        zerolog.Logger
	paused     func() bool
	decide     func(fleet.State, fleet.Limits) []fleet.Action
	holdsLease atomic.Bool
}

// HoldsLease reports whether this entry held the lease in its last pass.
func (l *Loop) HoldsLease() bool { return l.holdsLease.Load() }

// Option configures a Loop.
type Option func(*Loop)

// WithInterval sets the time between two passes.
func WithInterval(d time.Duration) Option { return func(l *Loop) { l.interval = d } }

// WithLease sets how long the lease is valid without renewal.
func WithLease(d time.Duration) Option { return func(l *Loop) { l.lease.duration = d } }

// WithLimits sets the limits of fleet decisions.
func WithLimits(limits fleet.Limits) Option { return func(l *Loop) { l.limits = limits } }

// WithLogger logs each action to log.
func WithLogger(log zerolog.Logger) Option { return func(l *Loop) { l.log = log } }

// WithPaused keeps the loop from holding the lease while f returns true.
func WithPaused(f func() bool) Option { return func(l *Loop) { l.paused = f } }

// New returns the control loop of the named entry.
func New(name string, t Table, p platform.Platform, o *Observer, opts ...Option) *Loop {
	l := &Loop{
		name: name, table: t, platform: p, observer: o,
		limits: fleet.DefaultLimits(), interval: defaultInterval, log: zerolog.Nop(),
		lease:  &lease{store: p, holder: name + "-" + randomID(), duration: defaultLease},
		paused: func() bool { return false },
		decide: fleet.Decide,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

func randomID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw) // never returns an error
	return hex.EncodeToString(raw)
}

// Run makes a pass at each interval until ctx ends, then releases the lease.
func (l *Loop) Run(ctx context.Context) error {
	t := time.NewTicker(l.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			done, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			if err := l.lease.release(done, time.Now()); err != nil {
				l.log.Debug().Str("event", "lease_not_released").Err(err).Send()
			}
			return nil
		case <-t.C:
			l.Step(ctx)
		}
	}
}

// Step makes one pass: if this entry holds the lease, it decides on actions and executes them.
func (l *Loop) Step(ctx context.Context) {
	if l.paused() {
		l.holdsLease.Store(false)
		if err := l.lease.release(ctx, time.Now()); err != nil {
			l.log.Debug().Str("event", "lease_not_released").Err(err).Send()
		}
		return
	}
	held, err := l.lease.acquire(ctx, time.Now())
	if err != nil {
		l.log.Debug().Str("event", "lease_failed").Err(err).Send()
	}
	l.holdsLease.Store(held)
	if !held {
		return
	}
	snap := l.table.Snapshot()
	state := fleet.State{Table: snap, Observed: l.observer.Observe(ctx, snap), Now: time.Now()}
	for _, a := range l.decide(state, l.limits) {
		if ctx.Err() != nil {
			return
		}
		l.execute(ctx, a)
	}
}

// execute executes one action. A failed action is decided again in a later pass.
func (l *Loop) execute(ctx context.Context, a fleet.Action) {
	var err error
	if a.IsEffect() {
		err = l.applyEffect(ctx, a)
	} else {
		err = l.commitEdit(ctx, a)
	}
	ev := l.log.Info()
	if err != nil {
		ev = l.log.Warn()
	}
	ev.Str("event", "control_action").Str("action", string(a.Kind)).Str("vm", a.VM).
		Str("reason", a.Reason).Str("evidence", a.Evidence).Err(err).Send()
}

func (l *Loop) applyEffect(ctx context.Context, a fleet.Action) (err error) {
	switch a.Kind {
	case fleet.EffectDrain:
		err = l.platform.Drain(ctx, a.VM, a.Boot)
	case fleet.EffectUndrain:
		err = l.platform.Undrain(ctx, a.VM)
	case fleet.EffectReboot:
		err = l.platform.Reboot(ctx, a.VM, a.Operation, a.Boot)
	default:
		err = errors.Errorf("unknown effect %q", a.Kind)
	}
	return errors.Wrapf(err, "%s of %s", a.Kind, a.VM)
}

func (l *Loop) commitEdit(ctx context.Context, a fleet.Action) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := l.table.Commit(ctx, &table.Edit{
		ID: "control-" + randomID(), Actor: "control@" + l.name,
		Reason: a.Reason, Evidence: a.Evidence, Changes: a.Changes,
	})
	return err
}
