package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// LossKind is the way in which an attempt was lost.
type LossKind string

// Values of LossKind.
const (
	LossEnded         LossKind = "worker_ended"  // the boot has ended
	LossLeasesExpired LossKind = "leases_lapsed" // the boot does not answer, and its leases have expired
	// LossVanished is the loss of a single attempt: its worker answers but lists neither the attempt
	// nor its end.
	LossVanished LossKind = "vanished"
)

// handleLoss drops the attempts at a lost worker. The run time of each is logged, which helps to
// find the one that crashed the worker.
func (o *Owner) handleLoss(s *session, kind LossKind) {
	o.countLosses(s)
	o.dropLost(s, kind, func(*workerAttempt) bool { return true })
	o.failPoisonTasks(s, kind)
	s.trial = nil
}

// dropLost drops those attempts at a lost worker that are lost.
func (o *Owner) dropLost(s *session, kind LossKind, lost func(*workerAttempt) bool) {
	now := o.now()
	for name, r := range sortedByKey(s.attempts) {
		if !lost(r) {
			continue
		}
		if r.sent() {
			o.cfg.Metrics.AttemptLost(kind)
			o.log.Info().Str("event", "attempt_lost").Str("task", name).Int64("attempt", r.Number).Str("boot", s.ref.Boot).
				Str("cause", string(kind)).Dur("ran", s.ranFor(r, now)).Bool("begun", r.startConfirmedAt > 0).Send()
		}
		o.dropAttempt(s, name)
	}
}

// sent reports whether the worker may have received the attempt.
func (r *workerAttempt) sent() bool { return r.sentAt > 0 || r.startConfirmedAt > 0 }

// ranFor returns how long an attempt had run when its worker last answered, 0 if its start was never
// answered.
func (s *session) ranFor(r *workerAttempt, now time.Duration) time.Duration {
	if r.Phase == jobs.PhaseOrdered || r.Phase == jobs.PhaseInDoubt {
		return 0
	}
	return max(0, s.lostAt(now)-r.startConfirmedAt)
}

// lostAt returns when a lost worker stopped answering.
func (s *session) lostAt(now time.Duration) time.Duration {
	if s.silentSince > 0 {
		return s.silentSince
	}
	return now
}
