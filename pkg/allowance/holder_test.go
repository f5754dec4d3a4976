package allowance

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// settleAll has shards take what a holder grants and report it, until it grants nothing more.
func settleAll(h *Allocator, shards map[string]*ShardShares, wanted map[string]float64, accounts []string) {
	names := []string{"p0", "p1"}
	for range 10 {
		grants := h.Plan(names, accounts)
		for _, name := range names {
			s := shards[name]
			if g, ok := grants[name]; ok {
				s.Apply(g)
				s.MarkPersisted(s.Pending())
			}
			r := s.Report()
			r.Full = true
			r.Accounts = []Usage{{Account: "a", Demand: wanted[name], MinStart: wanted[name] / 2, Share: s.MaxShare("a")}}
			h.HandleReport(name, r)
		}
	}
}

// TestDeparted has an account leave the configuration while its tasks wait in one shard,
// and want more than the share there: its limit is still divided by what is wanted.
func TestDeparted(t *testing.T) {
	c := qt.New(t)
	h := NewAllocator(1)
	shards := map[string]*ShardShares{"p0": NewShardShares(Row{}), "p1": NewShardShares(Row{})}
	settleAll(h, shards, map[string]float64{"p0": 0.9}, []string{"a"})
	c.Assert(shards["p0"].Share("a") >= 0.9, qt.IsTrue)
	settleAll(h, shards, map[string]float64{"p1": 0.9}, nil)
	c.Check(shards["p1"].Share("a") >= 0.9, qt.IsTrue, qt.Commentf("share %f", shards["p1"].Share("a")))
}
