package shard

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/pause"
)

// An owner that was replaced and does not know it may act for ConfirmedFor after its successor's
// takeover. Fencing tokens part the two at a worker, but a worker that starts again has forgotten
// them: a task ran twice at the same time there (TestReplacedOwnerAtNextBoot). So the rights don't
// overlap. Until its predecessor's right has run out the successor starts nothing that the other
// may start too, which is what was kept before the takeover; then each worker is asked once more,
// so that what was started there in the meantime is known. There is nothing to wait for where the
// predecessor has let go, or its process has ended.

const (
	// rightLasts is how long by our clock a right of ConfirmedFor may last by another's.
	rightLasts = ConfirmedFor * (1000 + 2*maxClockDriftPerMille) / 1000
	// formerPoll is how often it is looked whether the predecessor's process has ended.
	formerPoll = 50 * time.Millisecond
)

// Seen is the owner row that the decision to take a shard over was made on.
type Seen struct {
	Version int64
	Age     time.Duration // since it was seen first
}

// leftOf is how long after a takeover from now on an owner before may act still: the one in the
// row that was found, and the one before that.
func leftOf(found OwnerRow, age time.Duration, ended func(OwnerRow) bool) time.Duration {
	left := max(0, found.Left-age)
	if found.Entry != "" && (ended == nil || !ended(found)) {
		left = max(left, rightLasts)
	}
	return left
}

// awaitPredecessor has all workers of its time asked when no owner before this one can act any more.
func (o *Owner) awaitPredecessor() {
	for o.now() < o.alone && pause.For(o.ctx, min(formerPoll, o.alone-o.now())) == nil {
		if o.claim.earlier <= o.now()-o.openedAt && o.cfg.HasEnded != nil && o.cfg.HasEnded(o.claim.former) {
			break
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over {
		return
	}
	now := o.now()
	o.log.Info().Str("event", "predecessor_done").Str("entry", o.claim.former.Entry).Bool("ended", now < o.alone).Dur("after", now-o.openedAt).Send()
	o.alone = now
	for _, s := range o.sessionsInOrder() {
		if s.former.open {
			s.former.from = now
			s.lookAgain()
			s.kick()
		}
	}
}

// heardAlone tells whether a worker has listed what is there since no former owner could start
// anything there any more.
func (s *session) heardAlone() bool { return s.known && s.heardAt >= s.former.from }
