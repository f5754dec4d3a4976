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

// TestCalmFeeds counts the calls for changes of an entry beside which nothing happens: 91 a minute,
// where each of its three feeds made 60. 588 entries were worth a fifteenth of a quiet day in calls.
func TestCalmFeeds(t *testing.T) {
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
			defer func(stop func() error) { c.Check(stop(), qt.IsNil) }(begin(feed))
		}
		time.Sleep(time.Minute)
		c.Check(calls.Load() <= 100, qt.IsTrue, qt.Commentf("%d calls", calls.Load()))
	})
}

// TestCalmFeedsAfterSilence has the service fall silent while the feeds wait: what was written
// meanwhile is known within 2 s after it answers again.
func TestCalmFeedsAfterSilence(t *testing.T) {
	for _, begun := range []time.Duration{0, 700 * time.Millisecond, 2300 * time.Millisecond, 3900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			rows := fake.NewRows(time.Millisecond, time.Second)
			n := newIdleNode(rows)
			for _, feed := range []func(context.Context) error{n.followCatalog, n.followMembers, n.followOwners} {
				defer func(stop func() error) { c.Check(stop(), qt.IsNil) }(begin(feed))
			}
			time.Sleep(5*time.Second + begun)
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
			row, _, _ := n.keeper.Owner(testPool)
			c.Check(row.Term, qt.Equals, int64(7), qt.Commentf("silent after %v", begun))
			c.Check(n.members.Zones(), qt.Contains, "z2")
		})
	}
}

// putEntry registers another entry.
func putEntry(c *qt.C, rows *fake.Rows, m ownership.Member) {
	raw, err := msgpack.Marshal(m)
	c.Assert(err, qt.IsNil)
	_, err = rows.As(m.Name).CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{
		{RowKey: platform.RowKey{Table: ownership.TableMember, Key: m.Name}, Value: raw},
	}})
	c.Assert(err, qt.IsNil)
}
