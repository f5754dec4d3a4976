package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// there is an entry whose table service comes and goes; it implements Local.
type there struct {
	here
	back time.Time // since when the service answers, zero while it does not
}

func (l *there) ReachesStore() bool { return !l.back.IsZero() }

func (l *there) StoreAnsweredFor() time.Duration {
	if l.back.IsZero() {
		return 0
	}
	return time.Since(l.back)
}

// TestClaimsAfterOutage has an owner end while the table service is down for all.
// No entry claims its shard before the service is back, and then not all at once:
// what they last heard of each other is that the service does not answer.
func TestClaimsAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		names := []string{"e1", "e2", "e3", "e4", "e5"}
		claims := make(chan string, 100)
		entries := map[string]*there{}
		var keepers []*Keeper
		since := time.Now()
		time.Sleep(time.Minute)
		for _, self := range names {
			l := &there{}
			entries[self] = l
			m := NewMembers(Member{Name: self, Share: 1}, nil, zerolog.Nop(), since, l)
			m.majorityAt = 1
			for _, other := range append(names, "lost") {
				k := &known{Member: Member{Name: other, Share: 1, Start: 1}, wake: make(chan struct{}, 1), heardAt: time.Second}
				if other != "lost" {
					k.heardAt, k.storeLost = time.Hour, time.Second
				}
				if other != self {
					m.peers[other] = k
				}
			}
			open := func(context.Context, string, int64, *catalog.Catalog, Events) (Work, error) {
				claims <- self
				return nil, errors.New("another entry was first")
			}
			k := NewKeeper(shard.Identity{Entry: self, Start: 1}, m, open, zerolog.Nop(), since)
			k.catalog = catalog.New(catalog.Catalog{})
			k.shards["p"] = &state{row: shard.OwnerRow{Entry: "lost", Start: 1, Term: 1}, version: 1, loaded: true}
			keepers = append(keepers, k)
		}
		step := func() (claimed []string) {
			for _, k := range keepers {
				k.evaluate(context.Background())
			}
			synctest.Wait()
			for len(claims) > 0 {
				claimed = append(claimed, <-claims)
			}
			return claimed
		}
		c.Check(step(), qt.HasLen, 0)
		for _, l := range entries {
			l.back = time.Now()
		}
		c.Check(step(), qt.HasLen, 1)
	})
}
