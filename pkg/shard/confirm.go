package shard

import (
	"context"
	"time"
)

// ConfirmedFor is how long after its ownership was last confirmed an owner
// gives leases and orders. One that is cut off from the table service and may
// have been replaced stops then, so that a next owner knows when leases at
// workers that only the former one reaches have run out.
const ConfirmedFor = 1500 * time.Millisecond

// confirmed tells whether this entry may give leases and orders: it was the
// owner a short time ago, so a next one will wait for what is given now.
func (o *Owner) confirmed(now time.Duration) bool { return now-o.confirmedAt < ConfirmedFor }

// Confirm notes that this entry was the owner at a time on the owner's clock.
func (o *Owner) Confirm(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteConfirmed(at)
}

func (o *Owner) noteConfirmed(at time.Duration) {
	if at <= o.confirmedAt {
		return
	}
	now := o.now()
	regained := !o.confirmed(now) && now-at < ConfirmedFor
	o.confirmedAt = at
	if regained {
		o.log.Info().Str("event", "ownership_confirmed").Dur("age", now-at).Send()
		o.kickPlacement()
		for _, s := range o.sessionsByBoot() {
			s.requestPoll()
		}
	}
}

// askOwnership reads the owner row when nothing else has confirmed it of late,
// or while the table service is in trouble; the lock is held.
func (o *Owner) askOwnership(now time.Duration) {
	if o.readingOwnerRow || !o.commitsFailing && now-o.confirmedAt < ConfirmedFor/2 {
		return
	}
	if !o.confirmed(now) && !o.unconfirmedLogged {
		o.unconfirmedLogged = true
		o.log.Warn().Str("event", "ownership_unconfirmed").Dur("age", now-o.confirmedAt).Send()
	}
	o.readingOwnerRow = true
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, pollTimeout)
		defer cancel()
		sentAt := o.now()
		stands, err := o.claim.Stands(ctx, o.cfg.Rows, o.cfg.Pool)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.readingOwnerRow = false
		if err != nil {
			o.log.Debug().Str("event", "ownership_not_read").Err(err).Send()
			return
		}
		if !stands {
			o.giveUp(ErrNotOwner{Owner: OwnerRow{Entry: "the writer of a later owner row"}})
			return
		}
		o.unconfirmedLogged = false
		if o.commitsFailing && len(o.dirty) == 0 {
			// Nothing else would find out that transactions may be carried out again.
			o.noteTrouble(false, nil)
		}
		o.noteConfirmed(sentAt)
	})
}
