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
