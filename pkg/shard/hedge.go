package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// minHedgeDelay is the shortest time after which an unanswered transaction is sent again: more than
	// the service takes under load, and less than callers wait.
	minHedgeDelay = 250 * time.Millisecond
	// hedgeFactor is the delay as a multiple of the mean duration. A slow service executes the
	// transactions of a partition in sequence, so an unnecessary try delays the next transaction.
	hedgeFactor = 3
	// maxHedgeDelay is the longest delay.
	maxHedgeDelay = time.Second
	// maxTries is the maximum number of times that a transaction is sent.
	maxTries = 3
)

// try is one sending of a transaction and its result.
type try struct {
	sentAt  time.Duration // on the entry's clock
	took    time.Duration
	version int64
	err     error
}

// definite reports whether this try alone determines the outcome of the transaction. A refusal does
// not, since an earlier try may still be unanswered.
func (t *try) definite() bool {
	return t.err == nil || errors.As(t.err, new(platform.ErrConflict))
}

// commitLatency is a moving average of the time that answered transactions take.
type commitLatency struct {
	mean time.Duration
}

// observe adds the duration of an answered try.
func (l *commitLatency) observe(took time.Duration) { l.mean = (l.mean + took) / 2 }

// hedgeDelay returns the time after which an unanswered transaction is sent again.
func (l *commitLatency) hedgeDelay() time.Duration {
	return min(maxHedgeDelay, max(minHedgeDelay, hedgeFactor*l.mean))
}

// commitHedged sends a transaction whose preconditions let it be carried out at most once, and sends
// it again each time delay has passed without an answer; the first definite answer counts. The error
// is a platform.ErrConflict also if an earlier try was carried out, which the caller recognizes by
// the rows in it.
func commitHedged(ctx context.Context, rows platform.Rows, clock *elapsed.Clock, txn platform.RowTxn, delay time.Duration, observe func(took time.Duration, err error)) (t try) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	results := make(chan try, maxTries)
	send := func() {
		sent := try{sentAt: clock.Now()}
		go func() {
			sent.version, sent.err = rows.CommitRows(ctx, txn)
			sent.took = clock.Now() - sent.sentAt
			results <- sent
		}()
	}
	send()
	outstanding, sends := 1, 1
	resend := time.NewTicker(delay)
	defer resend.Stop()
	outcomeUnknown := false
	for outstanding > 0 {
		select {
		case <-resend.C:
			if sends < maxTries {
				send()
				outstanding++
				sends++
			}
		case t = <-results:
			outstanding--
			observe(t.took, t.err)
			if t.definite() {
				return t
			}
			outcomeUnknown = outcomeUnknown || !platform.IsNotDone(t.err)
		}
	}
	if outcomeUnknown && platform.IsNotDone(t.err) {
		t.err = platform.ErrUnknown{Op: "commit rows", Cause: "an earlier try was not answered; the last one failed: " + t.err.Error()}
	}
	return t
}
