package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/jobs"
)

// LossKind is how attempts went with their worker.
type LossKind string

// The kinds of losses.
const (
	LossEnded  LossKind = "worker_ended"  // the boot has ended
	LossLapsed LossKind = "leases_lapsed" // it does not answer, and its leases have run out
	// LossVanished is of a single attempt: its worker answers, and lists neither it nor its end.
	LossVanished LossKind = "vanished"
)

// lose forgets what was at a worker that is lost, and says of each attempt how long it
// had run: a worker goes with a dozen attempts, and when one of them has brought it down
// nothing else tells which.
func (o *Owner) lose(s *session, kind LossKind) {
	o.blame(s)
	now := o.now()
	for name, r := range sortedByKey(s.attempts) {
		if r.sent() {
			o.cfg.Metrics.AttemptLost(kind)
			o.log.Info().Str("event", "attempt_lost").Str("task", name).Int64("attempt", r.Number).Str("boot", s.ref.Boot).
				Str("cause", string(kind)).Dur("ran", s.ranFor(r, now)).Bool("begun", r.confirmedAt > 0).Send()
		}
		o.dropAttempt(s, name)
	}
	o.judge(s, kind)
	s.trial = nil
}

// sent tells whether the worker may have been given the attempt.
func (r *workerAttempt) sent() bool { return r.sentAt > 0 || r.confirmedAt > 0 }

// ranFor is how long an attempt had run when its worker was last heard, 0 for one
// that had no answer.
func (s *session) ranFor(r *workerAttempt, now time.Duration) time.Duration {
	if r.Phase == jobs.PhaseOrdered || r.Phase == jobs.PhaseInDoubt {
		return 0
	}
	return max(0, s.lostAt(now)-r.confirmedAt)
}

// lostAt is when a worker that is lost fell silent, as far as was noticed.
func (s *session) lostAt(now time.Duration) time.Duration {
	if s.silentSince > 0 {
		return s.silentSince
	}
	return now
}
