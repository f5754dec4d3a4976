package ownership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gannetwell/gannetwell/pkg/shard"
)

// Shards move away from entries with too many shards per processor: after a restart the entries
// that register first may own most shards. An entry with a fifth of a core can't serve a pool of 400
// workers, and would while entries with four times the processor own nothing.
const (
	// rebalanceFactor is the minimum ratio of an owner's shards per processor to those that the
	// other entry would have with the shard. As it exceeds 2, no shard moves from an entry with two
	// to an equal one with none, and single shards don't move back and forth.
	rebalanceFactor = 2.5
	// minTenure is how long a shard is owned before it may be handed over, which lets its takeover
	// finish and keeps it from moving repeatedly.
	minTenure = 3 * time.Second
	// rebalanceInterval is the minimum time between two shards that an entry hands over.
	rebalanceInterval = time.Second
)

// betterOwner returns the entry that should own a shard instead of this one, if there is one.
func betterOwner(self Member, pool string, candidates []Member, counts map[string]int) (to string, ok bool) {
	others := slices.DeleteFunc(slices.Clone(candidates), func(m Member) bool { return m.Name == self.Name })
	if len(others) == 0 {
		return "", false
	}
	best := slices.MinFunc(others, func(a, b Member) int { return compareLoad(pool, counts, a, b) })
	mine, theirs := float64(counts[self.Name])/self.CPUs, float64(counts[best.Name]+1)/best.CPUs
	return best.Name, mine >= rebalanceFactor*theirs
}

// compareLoad orders entries by the expected load that they would have with one more shard.
// A hash of pool and entry breaks ties, so that equal entries get different shards.
func compareLoad(pool string, counts map[string]int, a, b Member) int {
	return cmp.Or(
		cmp.Compare(loadWithOneMore(a, counts), loadWithOneMore(b, counts)),
		cmp.Compare(xxhash.Sum64String(pool+"/"+a.Name), xxhash.Sum64String(pool+"/"+b.Name)),
	)
}

// rebalance hands over one shard that another entry should own, if the cluster has been stable. The
// caller holds mu.
func (mgr *Manager) rebalance(ctx context.Context, candidates []Member, counts map[string]int, now time.Duration) {
	if now-mgr.rebalancedAt < rebalanceInterval || mgr.members.local.StoreUptime() < minTenure || !mgr.members.hasMajorityFor(minTenure) {
		return
	}
	for pool, s := range mgr.shards {
		if s.owner == nil || now-s.rowSeenAt < minTenure {
			continue
		}
		to, ok := betterOwner(mgr.members.self, pool, candidates, counts)
		if !ok {
			continue
		}
		mgr.rebalancedAt = now
		mgr.log.Info().Str("event", "shard_handed_on").Str("pool", pool).Str("to", to).Int("shards", counts[mgr.self.Entry]).
			Float64("share", mgr.members.self.CPUs).Send()
		go mgr.handOver(ctx, s, s.owner, to)
		return
	}
}

// handOver has the local owner release a shard to another entry, and drops that owner. The owner
// row is then read again: if the release was not committed, the row still names this entry, which
// claims the shard again.
func (mgr *Manager) handOver(ctx context.Context, s *shardState, o LocalOwner, to string) {
	o.Release(ctx, to)
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if s.owner != o {
		return // replaced by a newer owner row
	}
	s.owner = nil
	s.loaded = false
	s.notBefore = mgr.now() + claimRetryDelay
	s.row = shard.OwnerRow{}
	mgr.notifyOwnerChange()
}

// hasMajorityFor reports whether most entries have been alive for at least d.
func (m *Members) hasMajorityFor(d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateMajority()
	return m.majoritySince > 0 && m.now()-m.majoritySince >= d
}
