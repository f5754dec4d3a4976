package fleetops

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// An unanswered announcement that is committed late must not replace a newer one.
func TestLateAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &testFleet{rows: fake.NewRows(4*time.Millisecond, 3*time.Second), need: map[string]int{}}
		since := time.Now()
		first := s.open(c, "first", since)
		s.rows.SetFault(func(op fake.RowOp, entry string) fake.Fault {
			if op == fake.RowCommit {
				return fake.FaultLate
			}
			return fake.FaultNone
		})
		first.announce(context.Background(), []vmOrder{{vm: "v1"}})
		s.rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultNone })
		first.announce(context.Background(), []vmOrder{{vm: "v2"}})
		time.Sleep(10 * time.Millisecond)
		c.Assert(first.maySend(vmOrder{vm: "v2"}), qt.IsTrue)
		time.Sleep(2 * time.Second) // the late commit takes effect
		first.beginOrder(vmOrder{vm: "v2"})
		first.Close()
		second := s.open(c, "second", since)
		c.Check(second.mayOrderFor("v2"), qt.IsFalse)
		second.Close()
	})
}
