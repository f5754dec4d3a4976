package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TestRecoveryNoticed bounds the time until the first candidate for a shard notices that the table
// service answers again, at the end of two outages.
func TestRecoveryNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(4*time.Millisecond, time.Second)
		n := newIdleNode(rows)
		n.ownership.SetCatalog(catalog.New(catalog.Catalog{}))
		stopWatch, stopClaims := start(n.watchRecovery), start(n.ownership.Run)
		for range 2 {
			rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultDown })
			_, err := n.rows.ListRows(context.Background(), "any", "", "")
			c.Assert(err, qt.IsNotNil)
			n.ownership.ApplyOwner(fleetops.Partition, platform.Row{}) // no owner yet
			time.Sleep(4 * time.Second)
			c.Check(n.rows.reachable(), qt.IsFalse)
			rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultNone })
			time.Sleep(recoveryCheckInterval + 20*time.Millisecond)
			c.Check(n.rows.reachable(), qt.IsTrue)
		}
		c.Check(stopWatch(), qt.IsNil)
		c.Check(stopClaims(), qt.IsNil)
	})
}

// TestReleaseFailsInOutage checks that an entry whose planned stop begins during an outage tells
// others that its owners have ended, and that it claims nothing afterwards.
func TestReleaseFailsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(time.Millisecond, time.Second)
		n := newIdleNode(rows)
		n.ownership.SetCatalog(catalog.New(catalog.Catalog{}))
		n.evacuations.markLoaded(nil)
		n.ownership.ApplyOwner(fleetops.Partition, platform.Row{})
		stopClaims := start(n.ownership.Run)
		time.Sleep(time.Second)
		owns := func() bool { _, local, _ := n.ownership.Owner(fleetops.Partition); return local != nil }
		c.Assert(owns(), qt.IsTrue)
		released := func() bool {
			return n.answerPeer(context.Background(), &schema.Call{Kind: schema.CallKindPing}).Released
		}
		c.Check(released(), qt.IsFalse)

		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultDown })
		n.ownership.Release(context.Background())
		c.Check(released(), qt.IsTrue)
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultNone })
		time.Sleep(3 * time.Second)
		row, err := shard.ReadOwner(context.Background(), n.rows, fleetops.Partition)
		c.Assert(err, qt.IsNil)
		owner, err := shard.DecodeOwner(row.Value)
		c.Assert(err, qt.IsNil)
		c.Check(owner.Entry, qt.Equals, "e0") // still in its name, for another entry to claim
		c.Check(owner.Term, qt.Equals, int64(1))
		c.Check(stopClaims(), qt.IsNil)
	})
}
