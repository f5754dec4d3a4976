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
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// unstableEntry is a [Local] whose table service can become unavailable and recover.
type unstableEntry struct {
	fixedEntry
	storeSince time.Time // since when the table service (the store) answers, zero if it does not
}

func (e *unstableEntry) ReachesStore() bool { return !e.storeSince.IsZero() }

func (e *unstableEntry) StoreUptime() time.Duration {
	if e.storeSince.IsZero() {
		return 0
	}
	return time.Since(e.storeSince)
}

// claimCluster is a cluster of entries, at first without the table service; another entry, which owned
// the only shard, has ended.
type claimCluster struct {
	entries  []*unstableEntry
	managers []*Manager
	claims   chan string // names of the entries that claim the shard
}

func newClaimCluster() *claimCluster {
	o := &claimCluster{claims: make(chan string, 100)}
	names := []string{"e1", "e2", "e3", "e4", "e5"}
	since := time.Now()
	time.Sleep(time.Minute)
	for _, self := range names {
		e := &unstableEntry{}
		m := NewMembers(Member{Name: self, CPUs: 1}, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)), e)
		m.majoritySince = 1
		for _, other := range names {
			if other != self {
				m.peers[other] = memberHeard(other, time.Hour)
				m.peers[other].storeLostSince = time.Second
			}
		}
		m.peers["lost"] = memberHeard("lost", time.Second)
		o.entries = append(o.entries, e)
		o.managers = append(o.managers, o.manager(self, m, since))
	}
	return o
}

func memberHeard(name string, at time.Duration) *memberState {
	return &memberState{Member: Member{Name: name, CPUs: 1, Start: 1}, wake: make(chan struct{}, 1), heardAt: at}
}

// manager returns the manager of an entry whose claims are recorded and always fail.
func (o *claimCluster) manager(self string, m *Members, since time.Time) *Manager {
	open := func(context.Context, string, shard.ObservedOwner, *catalog.Catalog, Events) (LocalOwner, error) {
		o.claims <- self
		return nil, errors.New("another entry was first")
	}
	mgr := NewManager(shard.Identity{Entry: self, Start: 1}, m, open, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)))
	mgr.catalog = catalog.New(catalog.Catalog{})
	mgr.shards["p"] = &shardState{row: shard.OwnerRow{Entry: "lost", Start: 1, Term: 1}, version: 1, loaded: true}
	return mgr
}

// runPass runs one pass on all entries and returns those that claimed the shard.
func (o *claimCluster) runPass() (claimed []string) {
	for _, mgr := range o.managers {
		mgr.claimShards(context.Background())
	}
	synctest.Wait()
	for len(o.claims) > 0 {
		claimed = append(claimed, <-o.claims)
	}
	return claimed
}

// TestClaimsAfterOutage guards against claims during an outage of the table service, and against
// all entries claiming at once when it recovers.
func TestClaimsAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := newClaimCluster()
		c.Check(o.runPass(), qt.HasLen, 0)
		for _, e := range o.entries {
			e.storeSince = time.Now()
		}
		c.Check(o.runPass(), qt.HasLen, 1)
	})
}

// TestClaimAfterStopInOutage guards against a shard without an owner after an outage: its owner ended
// in a planned stop, its row could not be written, and its process still answers.
func TestClaimAfterStopInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := newClaimCluster()
		for i, mgr := range o.managers {
			p := memberHeard("lost", mgr.now())
			p.recordReply(&schema.CallReply{Start: 1, Stopping: true, Released: true}, mgr.now(), mgr.now())
			mgr.members.peers["lost"] = p
			o.entries[i].storeSince = time.Now()
		}
		c.Check(o.runPass(), qt.HasLen, 1)
	})
}

// TestMayClaimFirst checks that only the first candidate for a shard without an owner watches for the
// end of an outage, and that no claim's delay has begun before.
func TestMayClaimFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := newClaimCluster()
		watching := func() (names []string) {
			o.runPass()
			for _, mgr := range o.managers {
				if mgr.MayClaimFirst() {
					names = append(names, mgr.self.Entry)
				}
			}
			return names
		}
		first := watching()
		c.Check(first, qt.HasLen, 1)
		time.Sleep(3 * claimStagger)
		for _, e := range o.entries {
			e.storeSince = time.Now()
		}
		c.Check(o.runPass(), qt.DeepEquals, first)
		c.Check(watching(), qt.HasLen, 0)

		for i, e := range o.entries {
			e.storeSince = time.Time{}
			o.managers[i].shards["p"].loaded = true // read again after the failed claim
		}
		c.Check(watching(), qt.DeepEquals, first, qt.Commentf("the service is away again"))
		for _, mgr := range o.managers {
			mgr.members.peers["lost"] = memberHeard("lost", mgr.now())
		}
		c.Check(watching(), qt.HasLen, 0, qt.Commentf("the owner is alive"))
	})
}

// TestFleetFirst checks that the shard of the fleet operations is claimed before those of pools.
func TestFleetFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mgr := newClaimCluster().managers[0]
		mgr.addShard("a")
		mgr.addShard(fleetops.Partition)
		qt.Check(t, mgr.claimOrder(), qt.DeepEquals, []string{fleetops.Partition, "a", "p"})
	})
}

// TestUnregisteredIsNoCandidate guards against waiting for the claim of a process that started during
// an outage, since it could neither register nor read the configuration.
func TestUnregisteredIsNoCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := newClaimCluster()
		m := o.managers[0].members
		c.Check(m.Candidates(), qt.HasLen, 5)
		m.peers["e2"].processStart = 2
		c.Check(m.Candidates(), qt.HasLen, 4)
		m.peers["e2"].Start = 2 // it has registered
		c.Check(m.Candidates(), qt.HasLen, 5)
	})
}

// TestNoClaimBeforeOthersHeard guards against claims by all processes that started during an outage:
// they have heard nobody yet when they register, so each would be the only candidate.
func TestNoClaimBeforeOthersHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := newClaimCluster()
		for i, mgr := range o.managers {
			o.entries[i].storeSince = time.Now()
			mgr.members.registeredAt = mgr.now()
			for _, p := range mgr.members.peers {
				p.heardAt = 0
			}
		}
		c.Check(o.runPass(), qt.HasLen, 0)
		time.Sleep(startupClaimDelay)
		for _, mgr := range o.managers {
			for name, p := range mgr.members.peers {
				if name != "lost" {
					p.heardAt = mgr.now()
				}
			}
			mgr.members.peers["lost"].processStart = 2
		}
		c.Check(o.runPass(), qt.HasLen, 1)
	})
}

// releasingOwner is an owner whose release takes a while.
type releasingOwner struct{ LocalOwner }

func (releasingOwner) Release(context.Context, string) { time.Sleep(time.Second) }

// TestReleased checks that an entry reports its owners as ended only once each of them has, also one
// whose claim was in progress when the planned stop began.
func TestReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		mgr := newClaimCluster().managers[0]
		mgr.shards["p"].owner = releasingOwner{}
		c.Check(mgr.Released(), qt.IsFalse, qt.Commentf("not stopping"))
		done := make(chan struct{})
		go func() {
			defer close(done)
			mgr.Release(context.Background())
		}()
		synctest.Wait()
		c.Check(mgr.Released(), qt.IsFalse, qt.Commentf("the release is in progress"))
		<-done
		c.Check(mgr.Released(), qt.IsTrue)
		mgr.shards["q"] = &shardState{claiming: true}
		c.Check(mgr.Released(), qt.IsFalse, qt.Commentf("a claim is in progress"))
		closed := make(chan struct{})
		mgr.shards["q"] = &shardState{closed: closed}
		c.Check(mgr.Released(), qt.IsFalse, qt.Commentf("an owner is closing"))
		close(closed)
		c.Check(mgr.Released(), qt.IsTrue)
	})
}

// TestRowReadAfterClaim checks that the owner row is read again after a claim failed because the
// row has changed, since the feed may have lost that change.
func TestRowReadAfterClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := newClaimCluster()
		mgr := o.managers[0]
		mgr.open = func(context.Context, string, shard.ObservedOwner, *catalog.Catalog, Events) (LocalOwner, error) {
			return nil, errors.Wrap(shard.ErrNotOwner{}, "take over")
		}
		o.entries[0].storeSince = time.Now()
		c.Check(mgr.UnreadPools(), qt.HasLen, 0)
		for range 6 {
			mgr.claimShards(context.Background())
			synctest.Wait()
			time.Sleep(claimStagger)
		}
		c.Check(mgr.UnreadPools(), qt.DeepEquals, []string{"p"})
	})
}

// TestClaimAfterRestart guards against a late claim when all entries restart at the same time and
// the shards' former owners are gone.
func TestClaimAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		since := time.Now()
		e := &unstableEntry{storeSince: since}
		m := NewMembers(Member{Name: "e1", CPUs: 1, Start: 2}, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)), e)
		m.peers["e2"] = memberHeard("e2", 0)
		m.peers["e2"].Start = 2
		o := &claimCluster{claims: make(chan string, 10)}
		mgr := o.manager("e1", m, since)
		mgr.shards["p"].row = shard.OwnerRow{Entry: "e1", Start: 1, Term: 1}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = mgr.Run(ctx) }()
		<-o.claims
		qt.Check(t, time.Since(since) <= 450*time.Millisecond, qt.IsTrue, qt.Commentf("claimed after %v", time.Since(since)))
		cancel()
	})
}

// membersAlone returns the members as an entry with some processors sees them that knows no other yet. It
// has reached the table service and most entries since a time.
func membersAlone(cpus float64, since time.Time) *Members {
	m := NewMembers(Member{Name: "me", CPUs: cpus}, nil, zerolog.Nop(), elapsed.New(elapsed.WithOrigin(since)), &unstableEntry{storeSince: since})
	m.majoritySince = 1
	return m
}

// TestSmallEntryLeavesShardToLarger guards against a small entry that takes a busy pool over because the
// large ones before it, which are alive, have not managed to yet.
func TestSmallEntryLeavesShardToLarger(t *testing.T) {
	for _, tc := range []struct {
		largerCPUs float64
		delay      time.Duration
	}{
		{largerCPUs: 1, delay: claimStagger},
		{largerCPUs: rebalanceFactor - 0.1, delay: claimStagger},
		{largerCPUs: rebalanceFactor, delay: largerEntryTime},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			since := time.Now()
			time.Sleep(time.Minute)
			m := membersAlone(1, since)
			m.peers["first"] = memberHeard("first", time.Hour)
			m.peers["first"].CPUs = tc.largerCPUs
			claims := claimCluster{claims: make(chan string, 10)}
			mgr := claims.manager("me", m, since)
			mgr.shards["p"].row.Next = "first"
			mgr.shards["p"].row.Entry = "" // released
			mgr.claimShards(context.Background())
			time.Sleep(tc.delay - time.Millisecond)
			mgr.claimShards(context.Background())
			synctest.Wait()
			c.Check(claims.claims, qt.HasLen, 0, qt.Commentf("%v", tc.largerCPUs))
			time.Sleep(time.Millisecond)
			mgr.claimShards(context.Background())
			synctest.Wait()
			c.Check(claims.claims, qt.HasLen, 1, qt.Commentf("%v", tc.largerCPUs))
		})
	}
}
