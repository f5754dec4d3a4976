package shard

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/pause"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

// An owner that has not noticed its replacement may act for ConfirmationTTL after the takeover.
// Workers tell the two owners apart by fencing tokens, but forget these when they restart, and a
// task could run twice. The protocol of a takeover is therefore:
//
//  1. Tasks of jobs stored before the takeover wait while a worker that may run them has not
//     reported. A planned release lists these tasks; otherwise it is all of them.
//  2. The new owner waits until no former owner can act: the predecessor's confirmation has
//     expired, its process is known to have ended, or it confirms that it has stopped.
//  3. Each worker is then polled once more, to learn what was started there in the meantime.

const (
	// confirmationTTLWithDrift is how long ConfirmationTTL by another entry's clock may last by ours.
	confirmationTTLWithDrift = ConfirmationTTL * (1000 + 2*maxClockDriftPerMille) / 1000
	// predecessorPollInterval is how often to check whether the predecessor's process has ended. It
	// doesn't divide checkInterval, so that the log order is deterministic.
	predecessorPollInterval = 47 * time.Millisecond
	// standDownTimeout bounds one call that tells the predecessor that it was replaced.
	standDownTimeout = 400 * time.Millisecond
	// standDownRetryDelay is the pause after such a call has failed.
	standDownRetryDelay = 100 * time.Millisecond
)

// PredecessorEnd is the reason why no former owner can act any more.
type PredecessorEnd string

// Values of PredecessorEnd.
const (
	PredecessorExpired   PredecessorEnd = "right_lapsed"  // its confirmation of ownership has expired
	PredecessorEnded     PredecessorEnd = "process_ended" // its process has ended
	PredecessorStoodDown PredecessorEnd = "stood_down"    // it has confirmed that it stopped
)

// ObservedOwner is the state of the owner row on which a takeover was decided.
type ObservedOwner struct {
	Version int64
	Age     time.Duration // since this version was first seen
}

// remainingGrace returns how long from now on an owner before the one in the row may still act.
// The age of the row is a lower bound, since a process may have seen it late. An owner therefore
// records in its commit row that no former owner can act any more.
func remainingGrace(found OwnerRow, commit platform.Row, age time.Duration) time.Duration {
	var c commitRow
	if err := msgpack.Unmarshal(commit.Value, &c); err == nil && c.SoleOwner && c.Term == found.Term {
		return 0
	}
	return max(0, found.FormerGrace-age)
}

// awaitPredecessor waits until no former owner can act any more, then has all inherited workers
// polled.
func (o *Owner) awaitPredecessor() {
	ctx, done := context.WithTimeout(o.ctx, o.soleOwnerAt-o.now())
	defer done()
	end := PredecessorExpired
	if pause.For(ctx, o.claim.graceWithoutPredecessor) == nil {
		end = o.watchPredecessor(ctx)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	now := o.now()
	o.cfg.Metrics.PredecessorDone(end, now-o.tookOverAt)
	o.log.Info().Str("event", "predecessor_done").Str("entry", o.claim.predecessor.Entry).Str("end", string(end)).Dur("after", now-o.tookOverAt).Send()
	o.soleOwnerAt = now
	for _, s := range o.sessionsByBoot() {
		if s.former.pending {
			s.former.safeAt = now
			s.interruptPoll()
			s.requestPoll()
		}
	}
}

// watchPredecessor waits until the predecessor has stopped, or its confirmation expires with ctx.
func (o *Owner) watchPredecessor(ctx context.Context) PredecessorEnd {
	stopped := make(chan struct{})
	if o.cfg.StandDown != nil {
		o.wg.Go(func() { o.standDown(ctx, stopped) })
	}
	for {
		if o.cfg.HasEnded != nil && o.cfg.HasEnded(o.claim.predecessor) {
			return PredecessorEnded
		}
		poll := time.NewTimer(predecessorPollInterval)
		select {
		case <-stopped:
			poll.Stop()
			return PredecessorStoodDown
		case <-poll.C:
		case <-ctx.Done():
			poll.Stop()
			return PredecessorExpired
		}
	}
}

// standDown tells the predecessor that it was replaced, until it confirms that it has stopped.
func (o *Owner) standDown(ctx context.Context, stopped chan<- struct{}) {
	for pause.For(ctx, 0) == nil {
		callCtx, done := context.WithTimeout(ctx, standDownTimeout)
		ok := o.cfg.StandDown(callCtx, o.claim.predecessor, o.claim.row)
		done()
		if ok {
			close(stopped)
			return
		}
		_ = pause.For(ctx, standDownRetryDelay) // the loop condition checks ctx
	}
}

// awaited reports whether tasks wait for the next report of a worker, which lists the attempts
// that former owners have started there. The worker must answer that poll at once.
func (s *session) awaited(now time.Duration) bool { return s.former.pending && now >= s.former.safeAt }

// listedAll reports whether a worker has listed all its attempts and ends in answer to a poll sent after
// the last moment at which a former owner could start any there.
func (s *session) listedAll() bool { return s.attemptsKnown && s.listedAllAt >= s.former.safeAt }
