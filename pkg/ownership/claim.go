package ownership

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// Timing of claims.
const (
	// startupClaimDelay lets entries that start together register, and hear each other, before any of
	// them claims a shard that has no owner.
	startupClaimDelay = 250 * time.Millisecond
	// claimStagger is the delay between the claims of consecutive candidates for a shard.
	claimStagger = 350 * time.Millisecond
	// largerEntryTime is how long a small entry leaves a shard to much larger candidates, which may have to
	// try again: it could not serve a busy pool.
	largerEntryTime = 5 * time.Second
	// suspectTimeout is how long an owner is suspected before its shard is claimed.
	suspectTimeout = 3 * time.Second
	// storeStableTime is how long the table service must have answered before a suspected owner is
	// replaced: after a network partition heals, the service may be reachable before the other
	// entries are.
	storeStableTime = 1500 * time.Millisecond
	// claimInterval is the time between two passes over the shards while nothing changes.
	claimInterval = 200 * time.Millisecond
	// claimRetryDelay is the time before a shard is claimed again after a failure.
	claimRetryDelay = 300 * time.Millisecond
)

// claimShards makes a pass over the shards: it confirms the local owners, hands over a shard if the
// load is uneven, and claims the shards without an owner for which this entry is the next
// candidate.
func (mgr *Manager) claimShards(ctx context.Context) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	now := mgr.now()
	mgr.mayClaimFirst = false
	if mgr.stopping || mgr.members.sinceRegistration() < startupClaimDelay || mgr.catalog == nil {
		return
	}
	mgr.confirmOwned()
	candidates := mgr.members.Candidates()
	counts := mgr.shardCounts()
	if !mgr.members.local.ReachesStore() {
		mgr.mayClaimFirst = mgr.isFirstCandidate(candidates, counts)
		return // a claim could not be committed
	}
	mgr.rebalance(ctx, candidates, counts, now)
	for _, pool := range mgr.claimOrder() {
		s := mgr.shards[pool]
		if !s.loaded || s.owner != nil || s.claiming || now < s.notBefore {
			continue
		}
		why, gone := mgr.ownerGone(s, now)
		if !gone {
			continue
		}
		rank, largerFirst := mgr.rankAndAssign(pool, s.row, candidates, counts)
		if now-s.goneSince < claimDelay(rank, largerFirst) {
			continue
		}
		s.claiming = true // the event tells the start of the claim; a failure has its own
		mgr.log.Info().Str("event", "shard_claimed").Str("pool", pool).Str("former", s.row.Entry).Int64("version", s.version).
			Str("why", why).Int("rank", rank).Int("alive", len(candidates)).Dur("heard_ago", mgr.members.heardAgo(s.row.Entry)).
			Dur("store_up", mgr.members.local.StoreUptime()).Send()
		go mgr.claim(ctx, pool, s, shard.ObservedOwner{Version: s.version, Age: now - s.rowSeenAt})
	}
}

// claimOrder returns the names of the shards, that of the fleet operations first: pools wait for the
// VMs that it moves. The caller holds mu.
func (mgr *Manager) claimOrder() []string {
	names := slices.Sorted(maps.Keys(mgr.shards))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(claimPriority(a), claimPriority(b))
	})
	return names
}

// claimPriority is 0 for the shard that is claimed first and 1 for all others.
func claimPriority(name string) int {
	if name == fleetops.Partition {
		return 0
	}
	return 1
}

// isFirstCandidate reports whether this entry is the first candidate for a shard whose owner is
// gone. The caller holds mu.
func (mgr *Manager) isFirstCandidate(candidates []Member, counts map[string]int) (first bool) {
	for _, pool := range mgr.claimOrder() {
		s := mgr.shards[pool]
		if !s.loaded || s.owner != nil {
			continue
		}
		if status, _ := mgr.members.OwnerStatus(s.row, s.rowSeenAt); status != OwnerGone {
			continue
		}
		rank, _ := mgr.rankAndAssign(pool, s.row, candidates, counts)
		first = first || rank == 0
	}
	return first
}

// MayClaimFirst reports whether the table service does not answer and this entry is the first
// candidate for a shard without an owner, as of the last pass.
func (mgr *Manager) MayClaimFirst() bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.mayClaimFirst
}

// confirmOwned confirms the local owners: while no entry has seen a newer owner row, none of them
// was replaced. The caller holds mu.
func (mgr *Manager) confirmOwned() {
	at, ok := mgr.members.ConfirmedAt(mgr.latestVersion())
	if !ok {
		return
	}
	for _, s := range mgr.shards {
		if s.owner != nil {
			s.owner.Confirm(at)
		}
	}
}

// ownerGone reports whether a shard may be claimed because its owner is gone, and why. The caller
// holds mu.
func (mgr *Manager) ownerGone(s *shardState, now time.Duration) (why string, gone bool) {
	status, why := mgr.members.OwnerStatus(s.row, s.rowSeenAt)
	switch status {
	case OwnerAlive:
		s.goneSince, s.suspectSince = 0, 0
		return why, false
	case OwnerSuspect:
		if s.suspectSince == 0 {
			s.suspectSince = now
		}
		if now-s.suspectSince < suspectTimeout || mgr.members.local.StoreUptime() < storeStableTime {
			return why, false
		}
	}
	if s.goneSince == 0 {
		s.goneSince = now
	}
	return why, true
}

// claim takes over a shard and runs its owner here.
func (mgr *Manager) claim(ctx context.Context, pool string, s *shardState, seen shard.ObservedOwner) {
	mgr.mu.Lock()
	cat, closed := mgr.catalog, s.closed
	mgr.mu.Unlock()
	// A claim must not start before the previous local owner has stopped; if ctx ends first, the
	// claim fails.
	awaitClosed(ctx, closed)
	gaveUp := false // the owner gave up the shard before it was recorded here
	o, err := mgr.open(ctx, pool, seen, cat, Events{
		BeforeTakeover: func() {
			mgr.mu.Lock()
			defer mgr.mu.Unlock()
			s.inDoubt = true
		},
		OnGivenUp: func(error) {
			mgr.mu.Lock()
			gaveUp = true
			mgr.mu.Unlock()
			mgr.ownerGaveUp(pool)
		},
	})
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	s.claiming = false
	if err != nil {
		s.notBefore = mgr.now() + claimRetryDelay
		mgr.log.Warn().Str("event", "shard_claim_failed").Str("pool", pool).Err(err).Send()
		if errors.As(err, new(platform.ErrConflict)) || errors.As(err, new(shard.ErrNotOwner)) || platform.IsNotDone(err) {
			s.inDoubt = false
		}
		// The claim may have been committed, or the row may be a newer one. The feed may have lost
		// that change, so the row is read again.
		s.loaded = false
		return
	}
	s.inDoubt = false
	if gaveUp {
		s.loaded = false
		s.notBefore = mgr.now() + claimRetryDelay
	}
	if gaveUp || mgr.stopping || s.version > o.RowVersion() {
		s.closeOwner(o)
		return
	}
	s.owner = o
	o.SetCatalog(mgr.catalog)
	o.SetWorkers(mgr.workers)
	mgr.setRow(pool, s, shard.OwnerRow{Entry: mgr.self.Entry, Start: mgr.self.Start, Address: mgr.self.Address, Term: o.Term()}, o.RowVersion())
}

// ownerGaveUp records that a local owner has given up its shard.
func (mgr *Manager) ownerGaveUp(pool string) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	s := mgr.shards[pool]
	if s == nil || s.owner == nil {
		return
	}
	s.closeOwner(s.owner)
	s.owner = nil
	s.loaded = false
	s.notBefore = mgr.now() + claimRetryDelay
	mgr.Wake()
}
