package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/shard"
)

// shardCounts returns the number of shards of each entry. The caller holds mu.
func (mgr *Manager) shardCounts() map[string]int {
	counts := map[string]int{}
	for _, s := range mgr.shards {
		if s.row.Entry != "" {
			counts[s.row.Entry]++
		}
	}
	return counts
}

// rankAndAssign returns this entry's position among the candidates for a shard, 0 for the first, and
// whether a much larger entry is before it. It adds the shard to the first one's count, so that one
// candidate is not first for all shards.
func (mgr *Manager) rankAndAssign(pool string, row shard.OwnerRow, candidates []Member, counts map[string]int) (rank int, largerFirst bool) {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Or(cmp.Compare(successorOrder(a, row), successorOrder(b, row)), compareLoad(pool, counts, a, b))
	})
	if len(order) > 0 {
		counts[order[0].Name]++
	}
	if row.Entry == mgr.self.Entry && row.Start == mgr.self.Start {
		return 0, false // the row names this process, so no other entry claims the shard
	}
	rank = slices.IndexFunc(order, func(m Member) bool { return m.Name == mgr.self.Entry })
	return rank, rank > 0 && slices.ContainsFunc(order[:rank], func(m Member) bool {
		return m.CPUs >= rebalanceFactor*mgr.members.self.CPUs
	})
}

// claimDelay returns how long after its owner was found gone an entry claims a shard.
func claimDelay(rank int, largerFirst bool) time.Duration {
	delay := time.Duration(rank) * claimStagger
	if largerFirst {
		delay = max(delay, largerEntryTime)
	}
	return delay
}

const (
	// maxBusyShards is how many shards of an entry are expected to be busy at once: VMs move to the pools
	// that have demand, so that an entry with many shards has no more work than the fleet.
	maxBusyShards = 3
	// idleShardLoad is the load of each further shard, in busy shards.
	idleShardLoad = 0.125
)

// loadOf returns the expected load of an entry with n shards, in busy shards per processor.
func loadOf(m Member, n int) float64 {
	idle := max(0, n-maxBusyShards)
	return (float64(n-idle) + idleShardLoad*float64(idle)) / m.CPUs
}

// loadWithOneMore returns the expected load of an entry with one more shard than it has.
func loadWithOneMore(m Member, counts map[string]int) float64 { return loadOf(m, counts[m.Name]+1) }

// successorOrder is 0 for the successor that the last owner named and 1 for all others.
func successorOrder(m Member, row shard.OwnerRow) int {
	if row.Next != "" && m.Name == row.Next {
		return 0
	}
	return 1
}

// successors returns the candidates to take over from this entry, least loaded first, and an empty
// name, which stands for any.
func (mgr *Manager) successors() (names []string) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	candidates := slices.DeleteFunc(mgr.members.Candidates(), func(m Member) bool { return m.Name == mgr.self.Entry })
	counts := mgr.shardCounts()
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(loadWithOneMore(a, counts), loadWithOneMore(b, counts)), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range candidates {
		names = append(names, m.Name)
	}
	return append(names, "")
}
