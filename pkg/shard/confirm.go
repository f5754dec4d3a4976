package shard

import (
	"context"
	"time"
)

// ConfirmationTTL is how long after its ownership was last confirmed an owner may renew leases
// and send orders. One that can't reach the table service stops then, so that the next owner knows
// when the leases it has renewed expire.
const ConfirmationTTL = 1500 * time.Millisecond

// ownershipConfirmed reports whether this entry may renew leases and send orders.
func (o *Owner) ownershipConfirmed(now time.Duration) bool { return now-o.ownedAt < ConfirmationTTL }

// Confirm records that this entry was the owner at a time on the owner's clock.
func (o *Owner) Confirm(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteOwnershipConfirmed(at)
}

// noteOwnershipConfirmed does what Confirm does; the lock is held.
func (o *Owner) noteOwnershipConfirmed(at time.Duration) {
	if at <= o.ownedAt {
		return
	}
	now := o.now()
	regained := !o.ownershipConfirmed(now) && now-at < ConfirmationTTL
	o.ownedAt = at
	if regained {
		o.log.Info().Str("event", "ownership_confirmed").Dur("age", now-at).Send()
		o.requestPlacement()
		for _, s := range o.sessionsByBoot() {
			s.requestPoll()
		}
	}
}

// checkOwnership reads the owner row if ownership has not been confirmed recently, or while
// transactions fail; the lock is held.
func (o *Owner) checkOwnership(now time.Duration) {
	if o.readingOwnerRow || !o.commitsFailing && now-o.ownedAt < ConfirmationTTL/2 {
		return
	}
	if !o.ownershipConfirmed(now) && !o.unconfirmedLogged {
		o.unconfirmedLogged = true
		o.log.Warn().Str("event", "ownership_unconfirmed").Dur("age", now-o.ownedAt).Send()
	}
	o.readingOwnerRow = true
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, pollTimeout)
		defer cancel()
		sentAt := o.now()
		current, err := o.claim.IsCurrent(ctx, o.cfg.Rows, o.cfg.Pool)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.readingOwnerRow = false
		if err != nil {
			o.log.Debug().Str("event", "ownership_not_read").Err(err).Send()
			return
		}
		if !current {
			o.giveUp(ErrNotOwner{Owner: OwnerRow{Entry: "the writer of a later owner row"}})
			return
		}
		o.unconfirmedLogged = false
		if o.commitsFailing && len(o.dirty) == 0 {
			// There is nothing to write that would show that the table service is back.
			o.setCommitsFailingLocked(false, nil)
		}
		o.noteOwnershipConfirmed(sentAt)
	})
}
