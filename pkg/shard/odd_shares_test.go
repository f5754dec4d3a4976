package shard

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/quota"
)

// TestOddShares guards against quota shares by which accounts exceed their limits or no later grant is taken.
func TestOddShares(t *testing.T) {
	const pool = "p"
	shares := func(share float64) quota.Row {
		return quota.Row{Term: 3, Seq: 4, Enforced: true, Shares: map[string]float64{"sound": 0.2, "odd": share}}
	}
	for name, tc := range map[string]struct {
		row  quota.Row
		want string // kept, left out or unreadable
	}{
		"no shares yet":       {quota.Row{Term: 1}, "kept"},
		"no fields":           {quota.Row{}, "unreadable"},
		"whole limit":         {shares(1), "kept"},
		"rounded up":          {shares(1 + 1e-12), "kept"},
		"nothing":             {shares(0), "kept"},
		"rounded down":        {shares(-1e-12), "kept"},
		"replaced row":        {quota.LostRow(maxTerm, maxTerm), "kept"},
		"above the limit":     {shares(1.1), "left out"},
		"far above the limit": {shares(1e300), "left out"},
		"infinite":            {shares(math.Inf(1)), "left out"},
		"no number":           {shares(math.NaN()), "left out"},
		"negative":            {shares(-0.1), "left out"},
		"negative term":       {quota.Row{Term: -1}, "unreadable"},
		"term out of range":   {quota.Row{Term: maxTerm + 1}, "unreadable"},
		"negative number":     {quota.Row{Term: 3, Seq: -1}, "unreadable"},
		"number overflows":    {quota.Row{Term: 3, Seq: math.MaxInt64}, "unreadable"},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := encode(tc.row)
			qt.Assert(t, err, qt.IsNil)
			rows := fake.NewRows(time.Microsecond, time.Second).As("e")
			_, err = rows.CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{{RowKey: sharesRowKey(pool), Value: raw}}})
			qt.Assert(t, err, qt.IsNil)
			malformed := 0
			stored, err := readStoredState(context.Background(), rows, pool, 1, 0, func(errMalformedRow) { malformed++ })
			qt.Assert(t, err, qt.IsNil)
			got := "left out"
			switch {
			case stored.sharesUnreadable:
				got = "unreadable"
			case malformed == 0:
				got = "kept"
				qt.Check(t, stored.shares, qt.DeepEquals, tc.row)
			default:
				qt.Check(t, stored.shares, qt.DeepEquals, quota.Row{Term: 3, Seq: 4, Enforced: true, Shares: map[string]float64{"sound": 0.2}})
			}
			qt.Check(t, got, qt.Equals, tc.want)
			qt.Check(t, malformed, qt.Equals, map[string]int{"kept": 0, "left out": 1, "unreadable": 1}[got])
		})
	}
}
