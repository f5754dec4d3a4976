package ownership

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// Pace of claims.
const (
	// settleTime is how long a process that has started waits for others to register
	// before it claims a shard that nobody owns; entries that start together do so
	// within 0.3 s. Shards wait for it after the loss of all entries: 0.6 s instead
	// cost 0.008 of what callers get on such a day, 0.1 s gained nothing more.
	settleTime = 250 * time.Millisecond
	// rankDelay separates the claims of entries that would take over in turn.
	rankDelay = 350 * time.Millisecond
	// suspectTime is how long an owner is suspected before a claim when few others are heard.
	suspectTime = 3 * time.Second
	// storeSteady is for how long the table service must have answered before a
	// suspected owner is replaced: an entry whose cut has just healed reaches the
	// service before it hears the others again.
	storeSteady = 1500 * time.Millisecond
	// evaluateInterval is how often claims are gone through without an event.
	evaluateInterval = 200 * time.Millisecond
	// claimPause follows a claim that failed.
	claimPause = 300 * time.Millisecond
)

// evaluate claims the shards whose owner is gone and that fall to this entry.
func (k *Keeper) evaluate(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.stopping || now < settleTime || k.catalog == nil {
		return
	}
	k.confirmOwned()
	if !k.members.local.ReachesStore() {
		return // a claim could not be written
	}
	heirs := k.members.Heirs()
	load := k.load()
	k.handOn(ctx, heirs, load, now)
	for _, pool := range slices.Sorted(maps.Keys(k.shards)) {
		s := k.shards[pool]
		if !s.loaded || s.owner != nil || s.claiming || now < s.notBefore {
			continue
		}
		why, gone := k.judge(s, now)
		if !gone {
			continue
		}
		rank := k.rank(pool, s.row, heirs, load)
		if s.row.Entry == k.self.Entry && s.row.Start == k.self.Start {
			rank = 0 // the row names this very process, which has ended its work: no other entry claims it
		}
		if now-s.gone < time.Duration(rank)*rankDelay {
			continue
		}
		s.claiming = true
		k.log.Info().Str("event", "shard_claimed").Str("pool", pool).Str("former", s.row.Entry).Int64("version", s.version).
			Str("why", why).Int("rank", rank).Int("alive", len(heirs)).Send()
		go k.claim(ctx, pool, s, shard.ObservedOwner{Version: s.version, Age: now - s.rowAt})
	}
}

// confirmOwned tells our owners until when the other entries saw no later owner; the lock is held.
func (k *Keeper) confirmOwned() {
	at, ok := k.members.ConfirmedAt(k.seenVersion())
	if !ok {
		return
	}
	for _, s := range k.shards {
		if s.owner != nil {
			s.owner.Confirm(at)
		}
	}
}

// judge tells whether a shard is to be claimed; the lock is held.
func (k *Keeper) judge(s *state, now time.Duration) (why string, gone bool) {
	verdict, why := k.members.Judge(s.row, s.rowAt)
	switch verdict {
	case VerdictAlive:
		s.gone, s.suspect = 0, 0
		return why, false
	case VerdictSuspect:
		if s.suspect == 0 {
			s.suspect = now
		}
		if now-s.suspect < suspectTime || k.members.local.StoreAnsweredFor() < storeSteady {
			return why, false
		}
	}
	if s.gone == 0 {
		s.gone = now
	}
	return why, true
}

// claim takes a shard over.
func (k *Keeper) claim(ctx context.Context, pool string, s *state, seen shard.ObservedOwner) {
	k.mu.Lock()
	cat, ended := k.catalog, s.ended
	k.mu.Unlock()
	// Work of ours before this counts as ended for the one that follows; a ctx that ends fails the claim.
	awaitEnd(ctx, ended)
	over := false // the owner gave up before it was installed here
	o, err := k.open(ctx, pool, seen, cat, Events{
		Sending: func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			s.inDoubt = true
		},
		Over: func(error) {
			k.mu.Lock()
			over = true
			k.mu.Unlock()
			k.over(pool)
		},
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	s.claiming = false
	if err != nil {
		s.notBefore = k.now() + claimPause
		k.log.Warn().Str("event", "shard_claim_failed").Str("pool", pool).Err(err).Send()
		if errors.As(err, new(platform.ErrConflict)) || errors.As(err, new(shard.ErrNotOwner)) || platform.IsNotDone(err) {
			s.inDoubt = false
		}
		// The claim may have happened, or the row is another one than we have seen. The
		// feed need not bring it: a history that was forgotten had it, and all entries
		// claimed a shard in vain for 30 s, each with the row of an owner before.
		s.loaded = false
		return
	}
	s.inDoubt = false
	if over {
		s.loaded = false
		s.notBefore = k.now() + claimPause
	}
	if over || k.stopping || s.version > o.RowVersion() {
		s.end(o)
		return
	}
	s.owner = o
	o.SetCatalog(k.catalog)
	o.SetWorkers(k.workers)
	k.setRow(pool, s, shard.OwnerRow{Entry: k.self.Entry, Start: k.self.Start, Address: k.self.Address, Term: o.Term()}, o.RowVersion())
}

// over notes that an owner of ours has given its shard up.
func (k *Keeper) over(pool string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[pool]
	if s == nil || s.owner == nil {
		return
	}
	s.end(s.owner)
	s.owner = nil
	s.loaded = false
	s.notBefore = k.now() + claimPause
	k.Kick()
}
