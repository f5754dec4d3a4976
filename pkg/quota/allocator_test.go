package quota

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// converge exchanges grants and reports until the shares no longer change.
func converge(a *Allocator, shards map[string]*ShardShares, demand map[string]float64, accounts []string) {
	names := []string{"p0", "p1"}
	for range 10 {
		grants := a.Plan(names, accounts)
		for _, name := range names {
			s := shards[name]
			if g, ok := grants[name]; ok {
				s.Apply(g)
				s.MarkPersisted(s.Pending())
			}
			r := s.Report()
			r.Full = true
			r.Accounts = []Usage{{Account: "a", Demand: demand[name], MinStart: demand[name] / 2, MaxShare: s.MaxShare("a")}}
			a.HandleReport(name, r)
		}
	}
}

// An account that was removed from the configuration while its tasks wait still gets a share at
// the shard with demand.
func TestRemovedAccount(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(1)
	shards := map[string]*ShardShares{"p0": NewShardShares(Row{}), "p1": NewShardShares(Row{})}
	converge(a, shards, map[string]float64{"p0": 0.9}, []string{"a"})
	c.Assert(shards["p0"].Share("a") >= 0.9, qt.IsTrue)
	converge(a, shards, map[string]float64{"p1": 0.9}, nil)
	c.Check(shards["p1"].Share("a") >= 0.9, qt.IsTrue, qt.Commentf("share %f", shards["p1"].Share("a")))
}

// A shard whose row was lost allows nothing until the allocator knows, and gets a share again from the same one, also
// when that happens twice.
func TestLostRow(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(7)
	shards := map[string]*ShardShares{"p0": NewShardShares(Row{}), "p1": NewShardShares(Row{})}
	demand := map[string]float64{"p0": 0.6, "p1": 0.3}
	converge(a, shards, demand, []string{"a"})
	late := a.Plan([]string{"p0", "p1"}, []string{"a"})["p0"]
	late.Term, late.Shares = 7, map[string]float64{"a": 0.6}
	for takeover := range int64(2) {
		shards["p0"] = NewShardShares(LostRow(7, takeover+1))
		c.Check(shards["p0"].Enforced(), qt.IsTrue)
		c.Check(shards["p0"].Apply(late), qt.IsFalse)
		c.Check(shards["p0"].Share("a"), qt.Equals, 0.0)
		converge(a, shards, demand, []string{"a"})
		c.Check(shards["p0"].Share("a") >= 0.6, qt.IsTrue, qt.Commentf("share %f", shards["p0"].Share("a")))
		late.Seq = shards["p0"].Report().Seq
	}
}

// An account that runs more than its limit gets no share above the limit, so that it starts nothing until less runs:
// neither when the limit is first enforced nor when an allocator of an earlier version granted more.
func TestRunningAboveLimit(t *testing.T) {
	names := []string{"p0", "p1"}
	for name, stored := range map[string]Row{"first enforced": {}, "granted before": {Enforced: true, Shares: map[string]float64{"a": 1.6}}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := NewAllocator(1)
			shards := map[string]*ShardShares{"p0": NewShardShares(stored), "p1": NewShardShares(Row{Enforced: stored.Enforced})}
			running := map[string]float64{"p0": 1.3}
			for range 10 {
				grants := a.Plan(names, []string{"a"})
				for _, name := range names {
					s := shards[name]
					if g, ok := grants[name]; ok {
						s.Apply(g)
						s.MarkPersisted(s.Pending())
					}
					r := s.Report()
					r.Full = true
					r.Accounts = []Usage{{Account: "a", Running: running[name], Demand: running[name] + 0.4, MinStart: 0.1, MaxShare: s.MaxShare("a")}}
					a.HandleReport(name, r)
				}
			}
			c.Check(shards["p0"].Enforced(), qt.IsTrue)
			c.Check(shards["p0"].Share("a") <= 1, qt.IsTrue, qt.Commentf("share %f", shards["p0"].Share("a")))
			c.Check(shards["p1"].Share("a") <= epsilon, qt.IsTrue, qt.Commentf("share %f", shards["p1"].Share("a")))
		})
	}
}
