package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// TestIdleFeeds bounds the calls for changes that an idle entry makes in a minute.
func TestIdleFeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(time.Millisecond, time.Second)
		var calls atomic.Int64
		rows.SetFault(func(op fake.RowOp, _ string) fake.Fault {
			if op == fake.RowFollow {
				calls.Add(1)
			}
			return fake.FaultNone
		})
		n := newIdleNode(rows)
		for _, feed := range []func(context.Context) error{n.followCatalog, n.followMembers, n.followOwners} {
			defer func(stop func() error) { c.Check(stop(), qt.IsNil) }(start(feed))
		}
		time.Sleep(time.Minute)
		c.Check(calls.Load() <= 100, qt.IsTrue, qt.Commentf("%d calls", calls.Load()))
	})
}

// TestIdleFeedsAfterOutage checks that idle feeds read what was written during an outage of the
// table service within 2 s of its recovery.
func TestIdleFeedsAfterOutage(t *testing.T) {
	for _, outageAfter := range []time.Duration{0, 700 * time.Millisecond, 2300 * time.Millisecond, 3900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			rows := fake.NewRows(time.Millisecond, time.Second)
			n := newIdleNode(rows)
			for _, feed := range []func(context.Context) error{n.followCatalog, n.followMembers, n.followOwners} {
				defer func(stop func() error) { c.Check(stop(), qt.IsNil) }(start(feed))
			}
			time.Sleep(5*time.Second + outageAfter)
			rows.SetFault(func(_ fake.RowOp, entry string) fake.Fault {
				if entry == "e0" {
					return fake.FaultLostAfter
				}
				return fake.FaultNone
			})
			time.Sleep(3 * time.Second)
			owner, err := shard.EncodeOwner(shard.OwnerRow{Entry: "e1", Start: 1, Term: 7})
			c.Assert(err, qt.IsNil)
			_, err = rows.As("e1").CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{
				{RowKey: platform.RowKey{Table: shard.TableOwner, Partition: testPool, Key: "row"}, Value: owner},
			}})
			c.Assert(err, qt.IsNil)
			putEntry(c, rows, ownership.Member{Name: "e1", Address: "127.0.0.1:1", Zone: "z2", Start: 1})
			time.Sleep(time.Second)
			rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultNone })
			time.Sleep(2 * time.Second)
			row, _, _ := n.ownership.Owner(testPool)
			c.Check(row.Term, qt.Equals, int64(7), qt.Commentf("outage after %v", outageAfter))
			c.Check(n.members.Zones(), qt.Contains, "z2")
		})
	}
}

// putEntry writes the registration of another entry.
func putEntry(c *qt.C, rows *fake.Rows, m ownership.Member) {
	raw, err := msgpack.Marshal(m)
	c.Assert(err, qt.IsNil)
	_, err = rows.As(m.Name).CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{
		{RowKey: platform.RowKey{Table: ownership.TableMember, Key: m.Name}, Value: raw},
	}})
	c.Assert(err, qt.IsNil)
}
