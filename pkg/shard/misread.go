package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// A deadline is a time by the clock of one boot. The next boot's clock starts anew, so a deadline that is meant for
// the earlier boot is far ahead there, and the worker cuts it to the longest lease. It is misread, and holds for all
// that runs at the worker. The owner that knows of the restart waits longer, and stores that, so that its successor
// does too. Nobody may know of the restart, though: then a start that got no answer may run at the next boot, and so
// may anything that the former owner of a silent worker has started.

// misreadState says whether deadlines may have been misread at a boot.
type misreadState string

const (
	misreadNone    misreadState = ""        // no earlier boot is known
	misreadUnknown misreadState = "unknown" // the worker may have restarted since the former owner heard it
	misreadLikely  misreadState = "likely"  // there was an earlier boot, whose orders may still arrive
	misreadOver    misreadState = "over"    // there was one, and the worker refuses its orders now
)

// maxOrderTransit is how long an order to a worker may be under way before its sender gives it up.
const maxOrderTransit = pollWait + pollTimeout

// maxOrderDelay is how late an order may be carried out that is awaited at a boot of which the owner learns later.
const maxOrderDelay = 12 * time.Second

// maxLeaseEnd returns when a lease that was granted at a time has expired, whatever its deadline.
func (o *Owner) maxLeaseEnd(granted time.Duration) time.Duration {
	return granted + maxLocalDuration(o.cfg.MaxLease)
}

// misreadLeasesEnd returns when leases have expired whose deadlines were sent up to a time and may have been misread.
func (o *Owner) misreadLeasesEnd(sent time.Duration) time.Duration {
	return o.maxLeaseEnd(sent + maxOrderTransit)
}

// noteMisread records that deadlines sent up to a time may have been misread at a boot.
func (o *Owner) noteMisread(s *session, sent time.Duration) {
	s.misread, s.misreadUntil = misreadLikely, max(s.misreadUntil, o.misreadLeasesEnd(sent))
}

// mayHaveMisread reports whether leases by misread deadlines may be in force at a boot, also for what starts there from
// now on, so that the stored record has to name the boot even if nothing runs there.
func (s *session) mayHaveMisread(now time.Duration) bool { return now < s.misreadUntil }

// noteUnnamedBoot records that former owners may have reached an earlier boot of a worker, which no readable record would
// tell.
func (o *Owner) noteUnnamedBoot(s *session) {
	if o.recordUnreadable && s.mayRestart() {
		o.noteMisread(s, o.soleOwnerAt)
	}
}

// expireMisread has the stored record rewritten when the leases by misread deadlines at a boot have expired. The state
// stays: a boot that has not answered yet may still take an order for an earlier one.
func (o *Owner) expireMisread(s *session, now time.Duration) {
	if s.misreadUntil == 0 || now < s.misreadUntil {
		return
	}
	s.misreadUntil = 0
	o.record.markChanged(s.worker)
	o.requestCommit()
	o.endIfGone(s)
}

// noteEarlierBoot records that orders for earlier boots, the last of which with a deadline was sent at a time, and those of
// former owners may reach the boot of s. A late order may until that boot is heard, but no wait is for one later than
// maxOrderDelay, since a worker may restart again and again.
func (o *Owner) noteEarlierBoot(s *session, deadlineSentAt time.Duration) {
	s.deadlineSentAt = max(s.deadlineSentAt, deadlineSentAt)
	o.noteMisread(s, max(min(o.now(), s.deadlineSentAt+maxOrderDelay), o.soleOwnerAt))
}

// inheritMisread records what a former owner has stored about misread deadlines at a boot. Of a boot that answers,
// it has stored whether there was an earlier one. A silent worker may have restarted unless it has released the shard.
func (o *Owner) inheritMisread(s *session, w leasedWorker, released bool) {
	switch {
	case !s.mayRestart():
	case w.MisreadTerm > 0 && w.MisreadTerm == o.claim.Term-1:
		o.inheritMisreadLeft(s, w)
	case w.Misread != storedMisreadNone:
		o.noteMisread(s, o.soleOwnerAt)
	case !released:
		s.misread, s.misreadUntil = misreadUnknown, o.misreadLeasesEnd(o.soleOwnerAt)
	}
}

// tellMisreadLeft has the entry of a boot in the record of a release tell for how much longer leases by misread deadlines
// may be in force there.
func (o *Owner) tellMisreadLeft(w *leasedWorker, s *session, now time.Duration) {
	end := max(o.misreadStartsEnd(s), s.misreadUntil)
	w.MisreadTerm, w.MisreadLeft = o.claim.Term, max(0, end-now)
	if w.MisreadLeft > 0 {
		w.Misread = storedMisreadLikely
	}
}

// inheritMisreadLeft goes on with the wait of the owner that released the shard, so that a series of releases does not
// start it anew each time.
func (o *Owner) inheritMisreadLeft(s *session, w leasedWorker) {
	if w.Misread == storedMisreadNone {
		return
	}
	now := o.now()
	longest := o.misreadLeasesEnd(max(now, o.soleOwnerAt))
	s.misread, s.misreadUntil = misreadLikely, longest
	if w.MisreadLeft >= 0 && w.MisreadLeft <= longest-now {
		s.misreadUntil = now + maxLocalDuration(w.MisreadLeft)
	}
}

// unrecordedLeasesEnd returns when the leases of former owners have expired at workers that no readable record names.
func (o *Owner) unrecordedLeasesEnd() time.Duration {
	end := max(o.formerLeasesUntil, o.misreadLeasesEnd(o.soleOwnerAt))
	for _, s := range o.sessions {
		if s.mayRestart() {
			return end
		}
		end = o.formerLeasesUntil
	}
	return end
}

// settleMisread takes note that a boot has answered a poll that was sent at a time. From then on it refuses the orders of
// former owners and those for earlier boots, whose tokens are lower. Its next boot does not refuse those of a former owner,
// so that one that may still act may start something there.
func (o *Owner) settleMisread(s *session, sentAt time.Duration) {
	switch s.misread {
	case misreadUnknown:
		if sentAt < o.soleOwnerAt {
			return
		}
		s.misread, s.misreadUntil = misreadNone, 0
	case misreadLikely:
		if s.misreadUntil == 0 {
			o.record.markChanged(s.worker) // it tells no more of these deadlines
			o.requestCommit()
		}
		s.misread, s.misreadUntil = misreadOver, max(s.misreadUntil, o.maxLeaseEnd(o.now()))
	}
}

// mayRestart reports whether another boot of the worker may have the same ID. It has another start time then; a
// worker without one has a new ID with each boot.
func (s *session) mayRestart() bool {
	_, started := platform.ParseBootID(s.ref.Boot)
	return started != 0
}

// mayBeMisread reports whether an attempt may run at the next boot of a silent worker, of which nobody knows: its
// start got no answer, so it may have been carried out there.
func (s *session) mayBeMisread(r *workerAttempt) bool {
	return s.mayRestart() && r.sentAt > 0 && r.startConfirmedAt == 0
}

// misreadStartsEnd returns when the leases have expired of attempts that may run at the next boot of a silent
// worker, 0 if there are none.
func (o *Owner) misreadStartsEnd(s *session) (end time.Duration) {
	for _, r := range s.attempts {
		if s.mayBeMisread(r) {
			end = max(end, o.misreadLeasesEnd(max(r.sentAt, s.deadlineSentAt)))
		}
	}
	return end
}
