package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// minHedgeDelay is how long a transaction may go unanswered before it is sent once
	// more beside the first: above what the service takes under load, and below
	// what callers wait.
	minHedgeDelay = 250 * time.Millisecond
	// hedgeFactor times what transactions take of late is waited in a service that
	// is slow: it carries a partition's transactions out one after the other, so
	// that a try that was not needed holds up the next transaction.
	hedgeFactor = 3
	// maxHedgeDelay bounds that wait.
	maxHedgeDelay = time.Second
	// maxConcurrentTries bounds the tries of one transaction that are under way together.
	maxConcurrentTries = 3
)

// try is one sending of a transaction and its outcome.
type try struct {
	sentAt  time.Duration // on the entry's clock
	took    time.Duration
	version int64
	err     error
}

// definite tells whether the outcome of the transaction follows from this try
// alone. A refusal says nothing of an earlier try that has not been answered.
func (t *try) definite() bool {
	return t.err == nil || errors.As(t.err, new(platform.ErrConflict))
}

// commitLatency is how long transactions take of late, as far as they are answered.
type commitLatency struct {
	mean time.Duration
}

// observe takes the time of an answered try; a slow service shows within two.
func (p *commitLatency) observe(took time.Duration) { p.mean = (p.mean + took) / 2 }

// hedgeDelay is when a transaction without an answer is to be sent again.
func (p *commitLatency) hedgeDelay() time.Duration {
	return min(maxHedgeDelay, max(minHedgeDelay, hedgeFactor*p.mean))
}

// commitHedged carries out a transaction whose preconditions let it happen once
// only, however often it is sent. It is sent again each time after has passed
// without an answer; the first definite answer counts. The error is a
// platform.ErrConflict also when an earlier try of ours has happened: the caller
// tells that by the rows in it.
func commitHedged(ctx context.Context, rows platform.Rows, clock *elapsed.Clock, txn platform.RowTxn, after time.Duration, note func(took time.Duration, err error)) (t try) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	results := make(chan try, maxConcurrentTries)
	send := func() {
		sent := try{sentAt: clock.Now()}
		go func() {
			sent.version, sent.err = rows.CommitRows(ctx, txn)
			sent.took = clock.Now() - sent.sentAt
			results <- sent
		}()
	}
	send()
	underWay, sends := 1, 1
	again := time.NewTicker(after)
	defer again.Stop()
	inDoubt := false
	for underWay > 0 {
		select {
		case <-again.C:
			if sends < maxConcurrentTries {
				send()
				underWay++
				sends++
			}
		case t = <-results:
			underWay--
			note(t.took, t.err)
			if t.definite() {
				return t
			}
			inDoubt = inDoubt || !platform.IsNotDone(t.err)
		}
	}
	if inDoubt && platform.IsNotDone(t.err) {
		t.err = platform.ErrUnknown{Op: "commit rows", Cause: "an earlier try had no answer, the last one: " + t.err.Error()}
	}
	return t
}
