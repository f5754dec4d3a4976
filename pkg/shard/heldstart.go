package shard

// A worker without tasks is not polled, so the last reading of its clock may be old. The next starts there
// are held until a poll has read the clock: a lease from an old reading would be too short, or too long for
// the next owner.

// heldStart is a start that waits until its worker's clock has been read.
type heldStart struct {
	task    string
	attempt *workerAttempt
}

// holdStart holds the start of an attempt back if the worker's clock has to be read before; the lock is held.
func (o *Owner) holdStart(s *session, name string, r *workerAttempt) (held bool) {
	now := o.now()
	if !s.clockOutdated(now) {
		return false
	}
	if len(s.heldStarts) == 0 {
		o.cfg.Metrics.ClockRead()
		o.log.Info().Str("event", "clock_outdated").Str("task", name).Str("boot", s.ref.Boot).Dur("age", now-s.clockAt).Send()
		s.requestPoll()
	}
	s.heldStarts = append(s.heldStarts, heldStart{task: name, attempt: r})
	return true
}

// sendHeld queues the starts that waited for a reading of the worker's clock; the lock is held.
func (o *Owner) sendHeld(s *session) {
	for _, h := range s.takeHeld() {
		if s.attempts[h.task] == h.attempt {
			o.queueStart(s, h.task, h.attempt)
		}
	}
}

// withdrawHeld drops the held starts of a worker that does not answer; the lock is held.
func (o *Owner) withdrawHeld(s *session) {
	for _, h := range s.takeHeld() {
		o.startWithdrawn(s, h.task, h.attempt)
	}
}

func (s *session) takeHeld() (held []heldStart) {
	held, s.heldStarts = s.heldStarts, nil
	return held
}
