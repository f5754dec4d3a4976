package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gannetwell/gannetwell/pkg/shard"
)

// load counts the shards of each entry that is alive.
func (k *Keeper) load(alive []Member) map[string]int {
	load := make(map[string]int, len(alive))
	for _, s := range k.shards {
		if s.row.Entry != "" {
			load[s.row.Entry]++
		}
	}
	return load
}

// rank is this entry's place among those that may take a shard over, 0 for the
// first; the first is counted as its owner from then on.
func (k *Keeper) rank(pool string, row shard.OwnerRow, alive []Member, load map[string]int) int {
	order := slices.Clone(alive)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(notNext(a, row), notNext(b, row)),
			cmp.Compare(float64(load[a.Name]+1)/a.Share, float64(load[b.Name]+1)/b.Share),
			cmp.Compare(xxhash.Sum64String(pool+"/"+a.Name), xxhash.Sum64String(pool+"/"+b.Name)),
		)
	})
	if len(order) > 0 {
		load[order[0].Name]++
	}
	return slices.IndexFunc(order, func(m Member) bool { return m.Name == k.self.Entry })
}

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
	load := k.load(heirs)
	slices.SortFunc(heirs, func(a, b Member) int {
		return cmp.Or(cmp.Compare(float64(load[a.Name]+1)/a.Share, float64(load[b.Name]+1)/b.Share), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range heirs {
		names = append(names, m.Name)
	}
	return append(names, "")
}
