package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// quietTime is how long a handover waits for orders and transactions under way.
	quietTime = 600 * time.Millisecond
	// quietPoll is how often that is looked at.
	quietPoll = 5 * time.Millisecond
	// releaseTimeout bounds the handover's transaction.
	releaseTimeout = 2 * time.Second
)

// Release hands the shard over: it gives no more orders, keeps what is there to
// keep and lets go of the owner row; next names who should take over, if not empty.
func (o *Owner) Release(ctx context.Context, next string) {
	o.mu.Lock()
	if o.over || o.releasing {
		o.mu.Unlock()
		return
	}
	o.releasing = true
	o.mu.Unlock()
	started := o.now()
	quiet := o.awaitQuiet(ctx)
	o.mu.Lock()
	o.over = true
	o.refuseQueued()
	o.mu.Unlock()
	o.cancel()
	o.wg.Wait()
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := o.letGo(releaseCtx, next)
	o.log.Info().Str("event", "shard_released").Str("next", next).Bool("quiet", quiet).Dur("took", o.now()-started).Err(err).Send()
}

// awaitQuiet waits until no order and no transaction is under way; it reports whether that came in time.
func (o *Owner) awaitQuiet(ctx context.Context) bool {
	end := time.Now().Add(quietTime)
	for time.Now().Before(end) && ctx.Err() == nil {
		if o.quiet() {
			return true
		}
		time.Sleep(quietPoll)
	}
	return false
}

func (o *Owner) quiet() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.committing || len(o.queued) > 0 || len(o.dirty) > 0 {
		return false
	}
	for _, s := range o.sessions {
		// What becomes of an order to a worker that does not answer is not waited for:
		// the next owner is told of it.
		if s.failures == 0 && (s.inFlight > 0 || s.inDoubt) {
			return false
		}
	}
	return true
}

// letGo writes the owner row. It also narrows the record of leased workers to those
// where something runs or may run, and says what, so that the next owner need not wait
// for others. A worker that this owner has not heard since it took over may run tasks of
// a former owner, who may renew there still. If a transaction is under way of which it
// is not known whether it happens, the record stays as it was.
func (o *Owner) letGo(ctx context.Context, next string) error {
	var set []leasedWorker
	for _, s := range o.sessionsInOrder() {
		if s.recorded && (!s.known || s.former.open || !s.idle()) {
			set = append(set, s.leasedInTheEnd(o.claim.Term))
		}
	}
	raw, err := encode(set)
	if err != nil {
		return err
	}
	txn := platform.RowTxn{
		Expect: []platform.Row{{RowKey: commitKey(o.cfg.Pool), Version: o.chain}},
		Put:    []platform.Row{{RowKey: workersKey(o.cfg.Pool), Value: raw}},
	}
	if o.unheard {
		// The record that would have told of it may be on its way still. Forgotten, it hid a
		// second loss: a task was started after it had brought five workers down (TestRestarts).
		unheard, err := encode(unheardRow{Term: o.claim.Term})
		if err != nil {
			return err
		}
		txn.Put = append(txn.Put, platform.Row{RowKey: unheardRowKey(o.cfg.Pool), Value: unheard})
	}
	to := Successor{Entry: next, Left: max(0, o.alone-o.now())}
	err = o.claim.ReleaseWith(ctx, o.cfg.Rows, o.cfg.Pool, to, txn)
	if errors.As(err, new(platform.ErrConflict)) {
		return o.claim.Release(ctx, o.cfg.Rows, o.cfg.Pool, to)
	}
	return err
}
