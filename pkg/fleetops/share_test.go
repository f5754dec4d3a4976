package fleetops

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

func drawNeeds(t *rapid.T) []Need {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) (n Need) {
		more := rapid.IntRange(0, 40)
		n.Floor = more.Draw(t, "floor")
		n.Guaranteed = n.Floor + more.Draw(t, "guaranteed")
		n.Excess = n.Guaranteed + more.Draw(t, "excess")
		n.All = n.Excess + more.Draw(t, "late")
		n.Target = n.All + more.Draw(t, "headroom")
		return n
	}), 0, 6).Draw(t, "needs")
}

// Shares never exceed the VMs or the targets, use all VMs while a target is not met, and leave no
// kind of need short while a pool has more than an equal part of a later kind.
func TestShareProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs, vms := drawNeeds(t), rapid.IntRange(0, 500).Draw(t, "vms")
		shares, level := Share(needs, vms)
		targets := totalOf(needs, func(n Need) int { return n.Target })
		if got := sum(shares); got != min(vms, targets) {
			t.Fatalf("%d VMs shared out of %d, targets %d", got, vms, targets)
		}
		if (level == LevelNone) != (targets <= vms) {
			t.Fatalf("level %s with %d VMs for targets of %d", level, vms, targets)
		}
		floors := totalOf(needs, func(n Need) int { return n.Floor })
		reserve := lateReserve(needs, vms)
		excess := totalOf(needs, func(n Need) int { return n.Excess })
		for i, n := range needs {
			switch {
			case shares[i] > n.Target:
				t.Fatalf("pool %d: share %d above its target", i, shares[i])
			case floors <= vms && shares[i] < n.Floor:
				t.Fatalf("pool %d: share %d below its floor", i, shares[i])
			case excess+reserve <= vms && shares[i] < n.Excess:
				t.Fatalf("pool %d: share %d below %d though work in time fits", i, shares[i], n.Excess)
			}
		}
		for i := range needs { // equal level: whoever is short has no less than one above its floor
			for j := range needs {
				if floors <= vms && shares[i] < needs[i].Guaranteed && shares[j] > shares[i]+1+reserve && shares[j] > needs[j].Guaranteed+reserve {
					t.Fatalf("pool %d is short with %d while pool %d has %d", i, shares[i], j, shares[j])
				}
			}
		}
	})
}

// Late work of a pool whose turn is over gives way to a turn that begins, and keeps a small part.
func TestShareOfLateWork(t *testing.T) {
	c := qt.New(t)
	needs := []Need{
		{Floor: 2, Guaranteed: 20, Excess: 20, All: 600, Target: 691},
		{Floor: 2, Guaranteed: 400, Excess: 400, All: 400, Target: 461},
		{Floor: 10, Guaranteed: 10, Excess: 10, All: 10, Target: 12},
	}
	shares, level := Share(needs, 350)
	c.Check(level, qt.Equals, LevelGuaranteed)
	c.Check(shares, qt.DeepEquals, []int{20 + 18, 302, 10})
}

// An account over its guaranteed rate in one pool does not take VMs that work within the rates needs
// in another.
func TestShareOfExcess(t *testing.T) {
	c := qt.New(t)
	shares, level := Share([]Need{
		{Floor: 1, Guaranteed: 30, Excess: 300, All: 300, Target: 346},
		{Floor: 1, Guaranteed: 60, Excess: 60, All: 60, Target: 70},
	}, 100)
	c.Check(level, qt.Equals, LevelExcess)
	c.Check(shares, qt.DeepEquals, []int{40, 60})
}

func TestShareOfExtremes(t *testing.T) {
	c := qt.New(t)
	shares, level := Share(nil, 10)
	c.Check(shares, qt.HasLen, 0)
	c.Check(level, qt.Equals, LevelNone)

	alike := Need{Floor: 3, Guaranteed: 5, Excess: 5, All: 5, Target: 6}
	shares, _ = Share([]Need{alike, alike, alike}, 13)
	slices.Sort(shares)
	c.Check(shares, qt.DeepEquals, []int{4, 4, 5})

	shares, level = Share([]Need{{Floor: 50, Target: 50}, {Floor: 2, Target: 2}, {Floor: 50, Target: 50}}, 12) // more floors than VMs
	c.Check(shares, qt.DeepEquals, []int{5, 2, 5})
	c.Check(level, qt.Equals, LevelFloor)

	shares, _ = Share([]Need{alike, alike}, 0)
	c.Check(shares, qt.DeepEquals, []int{0, 0})
	shares, _ = Share([]Need{alike, alike}, -3)
	c.Check(shares, qt.DeepEquals, []int{0, 0})
	shares, _ = Share([]Need{{}, alike}, 4)
	c.Check(shares, qt.DeepEquals, []int{0, 4})
}

// An answer that does not say how urgent the work is counts as work within the guaranteed rates.
func TestNeedOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	l := shard.Load{
		Floor: 2, VMCapacity: platform.Resources{CPU: 1000},
		Used: platform.Resources{CPU: 4000}, Waiting: platform.Resources{CPU: 6000},
	}
	c.Check(DefaultSizing.need(l), qt.Equals, Need{Floor: 2, Guaranteed: 10, Excess: 10, All: 10, Target: 13})
	l.Held = shard.Demand{Guaranteed: platform.Resources{CPU: 1000}, Excess: platform.Resources{CPU: 2000}, Late: platform.Resources{CPU: 7000}}
	c.Check(DefaultSizing.need(l), qt.Equals, Need{Floor: 2, Guaranteed: 2, Excess: 3, All: 10, Target: 13})
}

// Expected growth counts toward the kinds of demand that are there now.
func TestGrown(t *testing.T) {
	c := qt.New(t)
	cores := func(n int) platform.Resources { return platform.Resources{CPU: n} }
	d := shard.Demand{Guaranteed: cores(6000), Excess: cores(0), Late: cores(2000)}
	c.Check(grown(d, 4000), qt.Equals, shard.Demand{Guaranteed: cores(9000), Late: cores(3000)})
	c.Check(grown(shard.Demand{}, 4000), qt.Equals, shard.Demand{})
}
