package ownership

import (
	"cmp"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/shard"
)

// load counts the shards of each entry; the lock is held.
func (k *Keeper) load() map[string]int {
	load := map[string]int{}
	for _, s := range k.shards {
		if s.row.Entry != "" {
			load[s.row.Entry]++
		}
	}
	return load
}

// rank is this entry's place among the heirs of a shard, 0 for the first; load
// counts the first as its owner from then on.
func (k *Keeper) rank(pool string, row shard.OwnerRow, heirs []Member, load map[string]int) int {
	order := slices.Clone(heirs)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Or(cmp.Compare(notNext(a, row), notNext(b, row)), byBurden(pool, load, a, b))
	})
	if len(order) > 0 {
		load[order[0].Name]++
	}
	return slices.IndexFunc(order, func(m Member) bool { return m.Name == k.self.Entry })
}

// burden is how many shards an entry would own for each processor with one more.
func burden(m Member, load map[string]int) float64 { return float64(load[m.Name]+1) / m.Share }

// notNext is 0 for the entry that the last owner named as the next.
func notNext(m Member, row shard.OwnerRow) int {
	if row.Next != "" && m.Name == row.Next {
		return 0
	}
	return 1
}

// next returns the entries that should take over from this one, those that own
// least first; an empty name stands for any.
func (k *Keeper) next() (names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	heirs := slices.DeleteFunc(k.members.Heirs(), func(m Member) bool { return m.Name == k.self.Entry })
	load := k.load()
	slices.SortFunc(heirs, func(a, b Member) int {
		return cmp.Or(cmp.Compare(burden(a, load), burden(b, load)), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range heirs {
		names = append(names, m.Name)
	}
	return append(names, "")
}
