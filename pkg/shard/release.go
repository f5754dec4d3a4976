package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const (
	// quiesceTimeout is how long a handover waits for orders and transactions under way.
	quiesceTimeout = 600 * time.Millisecond
	// quiescePollInterval is how often that is looked at.
	quiescePollInterval = 5 * time.Millisecond
	// releaseTimeout bounds the handover's transaction.
	releaseTimeout = 2 * time.Second
)

// Release hands the shard over: it gives no more orders, keeps what is there to
// keep and lets go of the owner row; next names who should take over, if not empty.
func (o *Owner) Release(ctx context.Context, next string) {
	o.mu.Lock()
	if o.closed || o.releasing {
		o.mu.Unlock()
		return
	}
	o.releasing = true
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

// awaitQuiesced waits until no order and no transaction is under way; it reports whether that came in time.
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
		// What becomes of an order to a worker that does not answer is not waited for:
		// the next owner is told of it.
		if s.unansweredCalls == 0 && (s.startsInFlight > 0 || s.inDoubt) {
			return false
		}
	}
	return true
}

// writeRelease writes the owner row, and with it what the next owner has to know. If a transaction is under
// way of which it is not known whether it happens, the record of leased workers stays as it was.
func (o *Owner) writeRelease(ctx context.Context, next string) (err error) {
	to := Successor{Entry: next, Left: max(0, o.soleOwnerAt-o.now())}
	unkept := o.unheardLoss || len(o.dirty) > 0
	txn, err := o.releaseTxn()
	if err != nil {
		return err
	}
	err = o.claim.ReleaseWith(ctx, o.cfg.Rows, o.cfg.Pool, to, txn)
	if !errors.As(err, new(platform.ErrConflict)) && !platform.IsRefused(err) {
		return err
	}
	txn = platform.RowTxn{}
	if unkept {
		if err := o.putUnheardRow(&txn); err != nil {
			return err
		}
	}
	return o.claim.ReleaseWith(ctx, o.cfg.Rows, o.cfg.Pool, to, txn)
}

// releaseTxn narrows the record of leased workers to those where something runs or may run, and says
// what, so that the next owner need not wait for others. A worker that this owner has not heard since
// it took over may run tasks of a former owner, who may renew there still. It also keeps the
// progress that is not kept yet, losses above all: a handover that waits for a silent worker as long
// as it may can end right after that was counted, and the record names the worker no more. Such a
// loss was forgotten, and a task brought six workers down (TestMostWorkersDown).
func (o *Owner) releaseTxn() (txn platform.RowTxn, err error) {
	b := &batch{}
	b.txn.Expect = []platform.Row{{RowKey: commitKey(o.cfg.Pool), Version: o.commitVersion}}
	if err := o.putRemainingWorkers(b); err != nil {
		return txn, err
	}
	o.putProgress(b)
	if o.unheardLoss || len(o.dirty) > 0 {
		// The record that would have told of it may be on its way still. Forgotten, it hid a
		// second loss: a task was started after it had brought five workers down (TestRestarts).
		err = o.putUnheardRow(&b.txn)
	}
	return b.txn, err
}

// putRemainingWorkers adds the narrowed record. If what may run at the workers is too much for it, it says
// of them only that anything may.
func (o *Owner) putRemainingWorkers(b *batch) error {
	var named, bare [recordParts][]leasedWorker
	for _, s := range o.sessionsByBoot() {
		if !s.recorded || s.synced && !s.former.open && s.idle() {
			continue
		}
		part := partOf(s.worker)
		named[part] = append(named[part], s.finalRecordEntry(o.claim.Term))
		bare[part] = append(bare[part], s.recordEntry())
	}
	o.record.noteAll()
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

// longestRow is the length of the longestRow row that the transaction puts, in bytes.
func (b *batch) longestRow() (n int) {
	for i := range b.txn.Put {
		n = max(n, len(b.txn.Put[i].Value))
	}
	return n
}

// putUnheardRow keeps that a worker may have been lost of which the next owner knows nothing.
func (o *Owner) putUnheardRow(txn *platform.RowTxn) error {
	raw, err := encode(unheardRow{Term: o.claim.Term})
	if err != nil {
		return err
	}
	txn.Put = append(txn.Put, platform.Row{RowKey: unheardRowKey(o.cfg.Pool), Value: raw})
	return nil
}
