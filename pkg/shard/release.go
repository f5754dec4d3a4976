package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// quiesceTimeout bounds the wait of a handover for outstanding orders and transactions.
	quiesceTimeout = 600 * time.Millisecond
	// quiescePollInterval is the time between two checks.
	quiescePollInterval = 5 * time.Millisecond
	// releaseTimeout bounds the handover's transaction.
	releaseTimeout = 2 * time.Second
)

// Release hands the shard over: it sends no new orders, stores what is pending and
// releases the owner row. next names the entry that should take over, empty for any.
func (o *Owner) Release(ctx context.Context, next string) {
	o.mu.Lock()
	if o.closed || o.releasing {
		o.mu.Unlock()
		return
	}
	o.releasing = true
	for _, s := range o.sessionsByBoot() {
		if s.unansweredCalls > 0 {
			o.keepCheckpoints(s)
		}
	}
	o.mu.Unlock()
	started := o.now()
	quiet := o.awaitQuiesced(ctx)
	o.mu.Lock()
	o.closed = true
	o.refuseQueued()
	o.mu.Unlock()
	o.cancel()
	o.wg.Wait()
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := o.writeRelease(releaseCtx, next)
	o.log.Info().Str("event", "shard_released").Str("next", next).Bool("quiet", quiet).Dur("took", o.now()-started).Err(err).Send()
}

// awaitQuiesced waits until no order or transaction is outstanding; it reports whether that
// came in time.
func (o *Owner) awaitQuiesced(ctx context.Context) bool {
	end := time.Now().Add(quiesceTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		if o.quiesced() {
			return true
		}
		time.Sleep(quiescePollInterval)
	}
	return false
}

func (o *Owner) quiesced() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.committing || len(o.queued) > 0 || len(o.dirty) > 0 {
		return false
	}
	for _, s := range o.sessions {
		// Orders to a worker that does not answer are not waited for: the stored record tells
		// the next owner about it.
		if s.unansweredCalls == 0 && (s.startsInFlight > 0 || s.outcomeUnknown) {
			return false
		}
	}
	return true
}

// writeRelease releases the owner row and stores what the next owner needs. If the outcome
// of an earlier transaction is unknown, it leaves the record of leased workers unchanged.
func (o *Owner) writeRelease(ctx context.Context, next string) (err error) {
	to := Handover{Entry: next, FormerGrace: max(0, o.soleOwnerAt-o.now())}
	to.StopsEnded, to.Stops = o.outstandingStops(o.now())
	maybeLoss := o.unreportedLoss || len(o.dirty) > 0
	txn, err := o.releaseTxn()
	if err != nil {
		return err
	}
	err = o.claim.ReleaseWith(ctx, o.cfg.Rows, o.cfg.Pool, to, txn)
	if !errors.As(err, new(platform.ErrConflict)) && !platform.IsRefused(err) {
		return err
	}
	txn = platform.RowTxn{}
	if maybeLoss {
		if err := o.putUnreportedLossRow(&txn); err != nil {
			return err
		}
	}
	return o.claim.ReleaseWith(ctx, o.cfg.Rows, o.cfg.Pool, to, txn)
}

// releaseTxn narrows the record of leased workers to those where something may run, and names the
// tasks, so that the next owner waits for those only. It also stores pending progress: the narrowed
// record may not name a lost worker, so its loss must not be left unstored.
func (o *Owner) releaseTxn() (txn platform.RowTxn, err error) {
	b := &batch{}
	b.txn.Expect = []platform.Row{{RowKey: commitKey(o.cfg.Pool), Version: o.commitVersion}}
	if err := o.putRemainingWorkers(b); err != nil {
		return txn, err
	}
	o.putProgress(b)
	if o.unreportedLoss || len(o.dirty) > 0 {
		// The write that reports the loss may still be outstanding; without this row the next
		// owner would miss the loss.
		err = o.putUnreportedLossRow(&b.txn)
	}
	return b.txn, err
}

// putRemainingWorkers adds the narrowed record. If that is too long with the tasks, it adds
// the workers without them, which means that any task may run there.
func (o *Owner) putRemainingWorkers(b *batch) error {
	now := o.now()
	var named, bare [recordParts][]leasedWorker
	for _, s := range o.sessionsByBoot() {
		known := s.attemptsKnown || !s.recorded() // nothing has started at a worker that is not recorded yet
		if known && !s.former.pending && s.idle() && !s.mayHaveMisread(now) {
			continue
		}
		part := partOf(s.worker)
		entry := s.finalRecordEntry(o.claim.Term, now)
		o.tellMisreadLeft(&entry, s, now)
		named[part] = append(named[part], entry)
		bare[part] = append(bare[part], s.recordEntry(now))
	}
	o.record.markAllChanged()
	if _, err := o.record.put(b, o.cfg.Pool, &named); err != nil {
		return err
	}
	if b.size < maxTxnBytes && b.longestRow() <= o.cfg.MaxRowBytes {
		return nil
	}
	o.log.Warn().Str("event", "record_shortened").Int("bytes", b.size).Int("longest_row", b.longestRow()).Send()
	b.txn.Put, b.txn.Remove, b.size = nil, nil, 0
	_, err := o.record.put(b, o.cfg.Pool, &bare)
	return err
}

// longestRow returns the length in bytes of the longest value that the batch puts.
func (b *batch) longestRow() (n int) {
	for i := range b.txn.Put {
		n = max(n, len(b.txn.Put[i].Value))
	}
	return n
}

// putUnreportedLossRow stores that a worker unknown to the next owner may have been lost.
func (o *Owner) putUnreportedLossRow(txn *platform.RowTxn) error {
	raw, err := encode(unreportedLossRow{Term: o.claim.Term})
	if err != nil {
		return err
	}
	txn.Put = append(txn.Put, platform.Row{RowKey: unreportedLossRowKey(o.cfg.Pool), Value: raw})
	return nil
}
