package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TestEvacuationRows checks that evacuations are begun and ended by changed rows and by a
// list that lacks a row, and that a malformed row affects no other.
func TestEvacuationRows(t *testing.T) {
	c := qt.New(t)
	rows := fake.NewRows(time.Microsecond, time.Second)
	n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{Rows: rows.As("e0")}, source(), testLog())
	operator := rows.As("operator")
	key := func(zone string) platform.RowKey { return platform.RowKey{Table: "operator", Key: "out/" + zone} }
	list := func() {
		_, err := n.listOperatorRows(context.Background())
		c.Assert(err, qt.IsNil)
	}
	c.Check(n.evacuations.isLoaded(), qt.IsFalse)
	putJSON(c, operator, "operator", "out/north", struct{}{})
	list()
	c.Check(n.evacuations.isLoaded(), qt.IsTrue)
	c.Check(n.evacuations.contains("north"), qt.IsTrue)
	c.Check(n.evacuations.contains("south"), qt.IsFalse)

	n.applyOperatorRow(platform.Row{RowKey: key("south"), Value: []byte("{}")})
	n.applyOperatorRow(platform.Row{RowKey: key("west"), Value: []byte("}")})
	c.Check(n.evacuations.all(), qt.HasLen, 2)
	n.applyOperatorRow(platform.Row{RowKey: key("south"), Removed: true})
	n.applyOperatorRow(platform.Row{RowKey: key("west"), Removed: true})
	c.Check(n.evacuations.contains("south"), qt.IsFalse)

	_, err := operator.CommitRows(context.Background(), platform.RowTxn{Remove: []platform.RowKey{key("north")}})
	c.Assert(err, qt.IsNil)
	list()
	c.Check(n.evacuations.all(), qt.HasLen, 0)
}

// TestWorkNeedsOperatorsRows checks that no owner starts before the evacuated zones are known.
func TestWorkNeedsOperatorsRows(t *testing.T) {
	c := qt.New(t)
	n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{}, source(), testLog())
	for _, pool := range []string{testPool, fleetops.Partition} {
		_, err := n.openShard(context.Background(), pool, shard.ObservedOwner{}, nil, ownership.Events{})
		c.Check(err, qt.ErrorIs, errOperatorRowsUnread)
	}
}

// TestAllZonesEvacuated checks that submissions are refused at once while all zones are evacuated.
func TestAllZonesEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{}, source(), testLog())
		n.applyOperatorRow(platform.Row{RowKey: platform.RowKey{Key: "out/" + n.self.Zone}, Value: []byte("{}")})
		began := time.Now()
		out := n.Submit(context.Background(), &catalog.Queue{Name: testQueue, Pool: testPool}, "", "0000000000000001", jobs.Spec{})
		c.Check(out, qt.Equals, schema.CallOutcomeRefused)
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
	})
}
