package shard

import (
	"context"
	"time"
)

// checkInterval is the time between two runs of the periodic checks.
const checkInterval = 150 * time.Millisecond

// finalJob is a job to be removed after the retention time.
type finalJob struct {
	id string
	at time.Duration
}

// checkLoop runs the periodic checks of ownership, leases, stops, stragglers and final jobs.
func (o *Owner) checkLoop(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.runChecks()
		}
	}
}

func (o *Owner) runChecks() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	o.checkOwnership(now)
	for _, s := range o.sessionsByBoot() {
		o.expireLeases(s)
		o.expireMisread(s, now)
		o.retryStops(s, now)
		if s.listed && !s.recorded() && now >= s.cordonedUntil {
			o.record.markChanged(s.worker)
			o.requestCommit()
		}
		if s.draining {
			o.evacuate(s, &spareRoom{owner: o, now: now}, limitsIgnored, "its worker is draining")
		}
	}
	o.expireWaveVMs(now)
	o.restarts.update(now, o.serves)
	o.moveLimitedTasks(now)
	o.resolveFormerWorkers()
	o.checkVMList(now)
	o.removeExpiredJobs(now)
	o.checkStragglers(now)
	o.updateRateLimit(now)
	o.updateTimeouts(now)
	o.logLoad(now)
	if o.hasWaitingTasks || o.registry.HasOccurrences() {
		o.requestPlacement()
	}
}

// updateRateLimit updates the limit on starts, which is in force while this owner is saturated.
func (o *Owner) updateRateLimit(now time.Duration) {
	w, changed := o.rate.Update(now)
	if !changed {
		return
	}
	o.log.Warn().Str("event", "owner_at_limit").Bool("at_limit", o.rate.Limiting()).Float64("starts_per_s", o.rate.PerSecond()).
		Dur("fastest_answer", w.Fastest).Int("answered", w.Answered).Int("lost", w.Lost).Send()
}

// updateTimeouts chooses the timeouts of calls to workers.
func (o *Owner) updateTimeouts(now time.Duration) {
	seen := o.timeouts
	if !o.timeouts.update(now, o.rate.Limiting()) {
		return
	}
	o.cfg.Metrics.TimeoutsChanged(o.timeouts.short)
	o.log.Warn().Str("event", "order_timeouts").Bool("short", o.timeouts.short).Dur("order", o.timeouts.current().order).
		Int("answered", seen.answered).Float64("late", seen.lateShare).Int("lost", seen.lost).Send()
}

// removeExpiredJobs removes final jobs after the retention time.
func (o *Owner) removeExpiredJobs(now time.Duration) {
	for len(o.finalJobs) > 0 && now-o.finalJobs[0].at > o.cfg.Retention {
		d := expiredJob{id: o.finalJobs[0].id, rows: 1}
		o.finalJobs = o.finalJobs[1:]
		if j := o.registry.Job(d.id); j != nil {
			d.rows = j.ProgressRows()
		}
		o.registry.Remove(d.id)
		o.removals = append(o.removals, d)
		o.requestCommit()
	}
}
