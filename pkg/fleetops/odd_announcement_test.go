package fleetops

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestOddAnnouncement guards against an announcement after which a VM is never ordered, or one whose time overflows, so
// that no order gap is kept.
func TestOddAnnouncement(t *testing.T) {
	const gap = 3 * time.Second
	for name, tc := range map[string]struct {
		until time.Duration
		odd   bool
	}{
		"sound":            {orderWindow, false},
		"in the past":      {-time.Hour, false},
		"an hour ahead":    {time.Hour, true},
		"endless":          {math.MaxInt64, true},
		"almost endless":   {math.MaxInt64 - gap, true},
		"before all times": {math.MinInt64, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw, err := msgpack.Marshal(announcement{Term: 1, Orders: []announcedOrder{{VM: "v1", Until: tc.until}}})
			c.Assert(err, qt.IsNil)
			rows := fake.NewRows(time.Microsecond, time.Second).As("e")
			_, err = rows.CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{{RowKey: announcementKey, Value: raw}}})
			c.Assert(err, qt.IsNil)
			r := &Runner{
				cfg: Config{Rows: rows, Clock: elapsed.New(), OrderGap: gap}, log: zerolog.Nop(),
				formerOrders: orderBook{},
			}
			c.Assert(r.loadFormerOrders(context.Background()), qt.IsTrue)
			c.Check(r.noOrdersBefore > 0, qt.Equals, tc.odd)
			c.Check(r.noOrdersBefore < time.Minute, qt.IsTrue)
			c.Check(len(r.formerOrders) == 0, qt.Equals, tc.odd)
		})
	}
}
