package ownership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gannetwell/gannetwell/pkg/shard"
)

// An entry that has just started, or has outlived others, may own more than it can
// carry: which entries are heard first when all start together is left to chance. A
// pool of 400 workers on an entry with 0.19 of a core served a third of its callers
// while 18 entries with four times the processor owned nothing.
const (
	// handOnFactor is how many times the burden of another entry, with the shard, an
	// owner's burden has to be for the shard to be handed on; it is above 2, so that
	// of like entries one with two shards keeps them beside one without.
	handOnFactor = 2.5
	// handOnTenure is how long a shard is owned before it is handed on, so that its
	// takeover is over and it does not go round.
	handOnTenure = 3 * time.Second
	// handOnPause is the time between two shards that an entry hands on.
	handOnPause = time.Second
)

// better returns the entry that should own a shard instead of this one, if there is one.
func better(self Member, pool string, heirs []Member, load map[string]int) (to string, ok bool) {
	others := slices.DeleteFunc(slices.Clone(heirs), func(m Member) bool { return m.Name == self.Name })
	if len(others) == 0 {
		return "", false
	}
	best := slices.MinFunc(others, func(a, b Member) int { return byBurden(pool, load, a, b) })
	mine := float64(load[self.Name]) / self.Share
	return best.Name, mine >= handOnFactor*burden(best, load)
}

// byBurden orders entries by what they would carry with one shard more; those that
// are alike in an order that differs from shard to shard.
func byBurden(pool string, load map[string]int, a, b Member) int {
	return cmp.Or(
		cmp.Compare(burden(a, load), burden(b, load)),
		cmp.Compare(xxhash.Sum64String(pool+"/"+a.Name), xxhash.Sum64String(pool+"/"+b.Name)),
	)
}

// handOn lets go of a shard that another entry should own, in calm times only; the
// lock is held.
func (k *Keeper) handOn(ctx context.Context, heirs []Member, load map[string]int, now time.Duration) {
	if now-k.handedOnAt < handOnPause || k.members.local.StoreAnsweredFor() < handOnTenure || !k.members.heardMostFor(handOnTenure) {
		return
	}
	for pool, s := range k.shards {
		if s.owner == nil || now-s.rowAt < handOnTenure {
			continue
		}
		to, ok := better(k.members.self, pool, heirs, load)
		if !ok {
			continue
		}
		k.handedOnAt = now
		k.log.Info().Str("event", "shard_handed_on").Str("pool", pool).Str("to", to).Int("shards", load[k.self.Entry]).
			Float64("share", k.members.self.Share).Send()
		go k.release(ctx, s, s.owner, to)
		return
	}
}

// release hands a shard over and forgets its work. The owner row is read again: should
// it not have been let go, it names this entry, which then takes the shard over anew.
func (k *Keeper) release(ctx context.Context, s *state, o Work, to string) {
	o.Release(ctx, to)
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.owner != o {
		return // the next owner's row was seen
	}
	s.owner = nil
	s.loaded = false
	s.notBefore = k.now() + claimPause
	s.row = shard.OwnerRow{}
	k.ownerChanged()
}

// heardMostFor tells whether most entries have been heard for a time.
func (m *Members) heardMostFor(d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteMajority()
	return m.majorityAt > 0 && m.now()-m.majorityAt >= d
}
