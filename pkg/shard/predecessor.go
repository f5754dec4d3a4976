package shard

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// An owner that was replaced and does not know it may act for ConfirmedFor after its successor's
// takeover. Fencing tokens part the two at a worker, but a worker that starts again has forgotten
// them: a task ran twice at the same time there (TestReplacedOwnerAtNextBoot). So the rights don't
// overlap. Until its predecessor's right has run out the successor starts nothing that the other
// may start too, which is what was kept before the takeover; then each worker is asked once more,
// so that what was started there in the meantime is known. There is nothing to wait for where the
// predecessor has let go, its process has ended, or it is told that it was replaced and says that
// it has stopped, as one does that is cut off from the table service only.

const (
	// rightLasts is how long by our clock a right of ConfirmedFor may last by another's.
	rightLasts = ConfirmedFor * (1000 + 2*maxClockDriftPerMille) / 1000
	// formerPoll is how often it is looked whether the predecessor's process has ended: no part of
	// upkeepInterval, so that the two do not come together and the order of the log repeats.
	formerPoll = 47 * time.Millisecond
	// standDownTimeout bounds one try to tell the predecessor that it was replaced; entries answer
	// each other in milliseconds, from another region in a few hundredths of a second.
	standDownTimeout = 400 * time.Millisecond
	// standDownAgain is the pause after a try that failed.
	standDownAgain = 100 * time.Millisecond
)

// PredecessorEnd is how it is known that an owner before can act no more.
type PredecessorEnd string

// The ends of predecessors.
const (
	PredecessorLapsed    PredecessorEnd = "right_lapsed"  // its right has run out
	PredecessorEnded     PredecessorEnd = "process_ended" // its process has ended
	PredecessorStoodDown PredecessorEnd = "stood_down"    // it was told that it was replaced, and has said that it stopped
)

// Seen is the owner row that the decision to take a shard over was made on.
type Seen struct {
	Version int64
	Age     time.Duration // since it was seen first
}

// earlierLeft is how long after a takeover from now on an owner before the one in a row may act still.
// Its age is known since the row was seen first only, which for a process that has just started is
// now; so the owner itself keeps it, with its next transaction, once it is alone.
func earlierLeft(found OwnerRow, commit platform.Row, age time.Duration) time.Duration {
	var c commitRow
	if err := msgpack.Unmarshal(commit.Value, &c); err == nil && c.Alone && c.Term == found.Term {
		return 0
	}
	return max(0, found.Left-age)
}

// awaitPredecessor has all workers of its time asked when no owner before this one can act any more.
func (o *Owner) awaitPredecessor() {
	ctx, done := context.WithTimeout(o.ctx, o.soleOwnerAt-o.now())
	defer done()
	end := PredecessorLapsed
	if pause.For(ctx, o.claim.earlier) == nil {
		end = o.watchPredecessor(ctx)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	now := o.now()
	o.cfg.Metrics.PredecessorDone(end, now-o.tookOverAt)
	o.log.Info().Str("event", "predecessor_done").Str("entry", o.claim.former.Entry).Str("end", string(end)).Dur("after", now-o.tookOverAt).Send()
	o.soleOwnerAt = now
	for _, s := range o.sessionsByBoot() {
		if s.former.open {
			s.former.from = now
			s.interruptPoll()
			s.requestPoll()
		}
	}
}

// watchPredecessor waits until the former owner does no more work, or ctx ends with its right.
func (o *Owner) watchPredecessor(ctx context.Context) PredecessorEnd {
	stands := make(chan struct{})
	if o.cfg.StandDown != nil {
		o.wg.Go(func() { o.standDown(ctx, stands) })
	}
	for {
		if o.cfg.HasEnded != nil && o.cfg.HasEnded(o.claim.former) {
			return PredecessorEnded
		}
		poll := time.NewTimer(formerPoll)
		select {
		case <-stands:
			poll.Stop()
			return PredecessorStoodDown
		case <-poll.C:
		case <-ctx.Done():
			poll.Stop()
			return PredecessorLapsed
		}
	}
}

// standDown tells the former owner that it was replaced, until it says that it does no more work.
func (o *Owner) standDown(ctx context.Context, stands chan<- struct{}) {
	for pause.For(ctx, 0) == nil {
		callCtx, done := context.WithTimeout(ctx, standDownTimeout)
		stood := o.cfg.StandDown(callCtx, o.claim.former, o.claim.row)
		done()
		if stood {
			close(stands)
			return
		}
		_ = pause.For(ctx, standDownAgain) // the loop sees an end of ctx
	}
}

// awaited tells whether tasks wait for the next answer of a worker, since it shows what former owners
// have started there. A look that waits for an end took 1.0 s longer to close a takeover (logs of a
// day with a zone cut off).
func (s *session) awaited(now time.Duration) bool { return s.former.open && now >= s.former.from }

// heardAlone tells whether a worker has listed what is there since no former owner could start
// anything there any more.
func (s *session) heardAlone() bool { return s.synced && s.answeredPollAt >= s.former.from }
