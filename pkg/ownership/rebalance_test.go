package ownership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TestBetterOwner checks which entry a shard is moved to for a given load.
func TestBetterOwner(t *testing.T) {
	candidates := []Member{{Name: "me", CPUs: 0.2}, {Name: "small", CPUs: 0.2}, {Name: "big", CPUs: 0.8}, {Name: "large", CPUs: 0.8}}
	for _, tc := range []struct {
		share float64
		load  map[string]int
		to    string
	}{
		{0.2, map[string]int{"me": 1, "large": 1}, "big"},
		{0.2, map[string]int{"me": 1, "big": 1}, "large"},
		{0.2, map[string]int{"me": 1, "large": 2, "big": 2}, ""}, // the larger entries have shards of their own
		{0.8, map[string]int{"me": 1}, ""},                       // an equal entry without shards is not better by rebalanceFactor
		{0.8, map[string]int{"me": 2, "large": 1}, ""},           // nor is one with a shard less
		{0.8, map[string]int{"me": 3, "large": 1}, "big"},
	} {
		to, ok := betterOwner(Member{Name: "me", CPUs: tc.share}, "p", candidates, tc.load)
		if !ok {
			to = ""
		}
		qt.Check(t, to, qt.Equals, tc.to, qt.Commentf("%v of %v", tc.load, tc.share))
	}
	_, ok := betterOwner(candidates[0], "p", candidates[:1], map[string]int{"me": 1})
	qt.Check(t, ok, qt.IsFalse)
}

// TestLargeEntryTakesAll guards against a pool that goes to an entry with a fifth of a core because the
// only large one that is left owns several others: VMs move to the pool that has demand, so that the
// small one could get the work of the whole fleet.
func TestLargeEntryTakesAll(t *testing.T) {
	c := qt.New(t)
	candidates := []Member{{Name: "small", CPUs: 0.192}, {Name: "large", CPUs: 0.8}}
	first := func(counts map[string]int) string {
		return slices.MinFunc(candidates, func(a, b Member) int { return compareLoad("p", counts, a, b) }).Name
	}
	for n := range 12 {
		c.Check(first(map[string]int{"large": n}), qt.Equals, "large", qt.Commentf("%d shards", n))
	}
	c.Check(first(map[string]int{"large": 12}), qt.Equals, "small", qt.Commentf("idle shards are some work too"))
	candidates = append(candidates, Member{Name: "other", CPUs: 0.8})
	c.Check(first(map[string]int{"large": 5, "other": 4}), qt.Equals, "other")
	c.Check(first(map[string]int{"large": 4, "other": 5}), qt.Equals, "large")
	candidates[0] = Member{Name: "medium", CPUs: 0.4}
	c.Check(first(map[string]int{"large": 3, "other": 3}), qt.Equals, "medium")
}

// releaseRecorder records the successor it was released to.
type releaseRecorder struct {
	LocalOwner
	to chan string
}

func (r *releaseRecorder) Release(_ context.Context, next string) { r.to <- next }
func (*releaseRecorder) Confirm(time.Duration)                    {}

// TestRebalance checks that a small entry hands a shard over to the largest one. If the owner row
// still names the small entry afterwards, it claims the shard again at once, without the delay by rank.
func TestRebalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		since := time.Now()
		time.Sleep(time.Minute)
		m := membersAlone(0.2, since)
		for i := range 96 {
			name := fmt.Sprintf("e%d", i)
			m.peers[name] = memberHeard(name, time.Hour)
			m.peers[name].CPUs = 0.2
		}
		m.peers["e7"].CPUs = 0.8
		claims := make(chan struct{}, 10)
		open := func(context.Context, string, shard.ObservedOwner, *catalog.Catalog, Events) (LocalOwner, error) {
			claims <- struct{}{}
			return nil, errors.New("another entry was first")
		}
		mgr := NewManager(shard.Identity{Entry: "me", Start: 3}, m, open, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)))
		mgr.catalog = catalog.New(catalog.Catalog{})
		w := &releaseRecorder{to: make(chan string, 1)}
		row := shard.OwnerRow{Entry: "me", Start: 3, Term: 1}
		mgr.shards["p"] = &shardState{row: row, version: 5, loaded: true, owner: w}

		mgr.claimShards(context.Background())
		synctest.Wait()
		c.Assert(<-w.to, qt.Equals, "e7")
		c.Check(mgr.UnreadPools(), qt.DeepEquals, []string{"p"})

		raw, err := shard.EncodeOwner(row)
		c.Assert(err, qt.IsNil)
		mgr.ApplyOwner("p", platform.Row{Value: raw, Version: 5})
		time.Sleep(claimRetryDelay)
		mgr.claimShards(context.Background())
		synctest.Wait()
		c.Check(claims, qt.HasLen, 1)
	})
}
