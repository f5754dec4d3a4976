package shard

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// Filler tasks use the resources that serving tasks leave free. They are throttled at once
// when the tail latency of a serving task nears its target, and sped up gradually when it is well
// below.
const (
	throttleDownShare  = 0.85 // share of the target above which filler tasks are throttled
	throttleUpShare    = 0.6  // share of the target below which they are sped up
	throttleUpStep     = 15   // percentage points by which their processor share is raised
	minThrottlePercent = 5    // least processor share
	unthrottledPercent = 100
	// throttleUpInterval is the time before the processor share is raised, longer than a report covers.
	throttleUpInterval = 900 * time.Millisecond
	// throttleDownInterval is the time before the processor share is lowered again.
	throttleDownInterval = 500 * time.Millisecond
)

// adjustThrottles adapts the processor share of a worker's filler tasks to the tail latency of the
// serving tasks beside them; the caller holds the lock.
func (o *Owner) adjustThrottles(s *session, now time.Duration) {
	worst := 0.0 // highest ratio of tail latency to target
	for _, r := range s.attempts {
		if target := r.Task.Step.Spec.TailTarget; target > 0 && r.Phase == jobs.PhaseRunning {
			worst = max(worst, float64(r.Load)/float64(target.Milliseconds()))
		}
	}
	for name, r := range s.attempts {
		if !r.Task.Step.Spec.Filler || r.Phase != jobs.PhaseRunning || r.startConfirmedAt == 0 {
			continue
		}
		if next := nextThrottle(r, worst, now); next != r.throttlePercent {
			o.setThrottle(s, name, r, next, worst, now)
		}
	}
}

// nextThrottle returns the processor share, in percent, that a filler task should have.
func nextThrottle(r *workerAttempt, worst float64, now time.Duration) int {
	current := r.throttlePercent
	if current == 0 {
		current = unthrottledPercent
	}
	switch {
	case worst > throttleDownShare && now-r.throttledAt >= throttleDownInterval:
		return max(minThrottlePercent, current/2)
	case worst < throttleUpShare && now-r.throttledAt >= throttleUpInterval && current < unthrottledPercent:
		return min(unthrottledPercent, current+throttleUpStep)
	default:
		return r.throttlePercent
	}
}

func (o *Owner) setThrottle(s *session, name string, r *workerAttempt, percent int, worst float64, now time.Duration) {
	r.throttlePercent, r.throttledAt = percent, now
	o.log.Info().Str("event", "pace_ordered").Str("task", name).Str("boot", s.ref.Boot).Int("percent", percent).Float64("tail_of_target", worst).Send()
	order := platform.ThrottleOrder{Task: name, Attempt: r.Number, Percent: percent, Token: s.token}
	o.enqueueOrder(s, &queuedOrder{
		send: func(ctx context.Context) (int64, error) { return o.cfg.Workers.ThrottleAttempt(ctx, s.ref, order) },
		onAnswer: func(err error) {
			if err != nil {
				r.throttlePercent, r.throttledAt = 0, 0 // unknown; the next report decides again
				o.log.Warn().Str("event", "pace_failed").Str("task", name).Str("boot", s.ref.Boot).Err(err).Send()
			}
		},
	})
}
