package shard_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/internal/prop"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// ownedEstate is a deployment with one worker, w1, and an owner, a, that has heard it.
func ownedEstate(t *testing.T) *estate {
	e := newEstate(t)
	e.addWorker("w1", "w1", "w1", "4000", "0")
	qt.Assert(t, e.own("a"), qt.Equals, "term 1\n")
	time.Sleep(time.Second)
	return e
}

// stateOf is the state of a job as an owner tells it.
func (e *estate) stateOf(entry, id string) string {
	return strings.TrimSpace(e.state(entry, id, shard.Asker{Operator: true}))
}

// earlierRecord is the record of leased workers as earlier versions keep it, in one row.
type earlierRecord []struct {
	Boot    string `msgpack:"b"`
	VM      string `msgpack:"v"`
	Address string `msgpack:"a"`
}

// recordRow is the row of earlier versions.
func recordRow(value []byte) platform.Row {
	return platform.Row{RowKey: platform.RowKey{Table: "workers", Partition: pool, Key: "row"}, Value: value}
}

// TestEarlierRecord has an owner of an earlier version leave a task at a worker that does not answer
// the next owner: the task waits for that worker's leases, as the row of the earlier version says.
func TestEarlierRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := ownedEstate(t)
		defer e.close()
		c.Assert(e.submit("a", "", "j1", "1x1000/0s"), qt.Equals, "ok\n")
		time.Sleep(time.Second)
		e.owners["a"].Close()
		e.setOwner("a", nil)

		raw, err := msgpack.Marshal(earlierRecord{{Boot: "w1", VM: "w1", Address: "w1"}})
		c.Assert(err, qt.IsNil)
		txn := platform.RowTxn{Put: []platform.Row{recordRow(raw)}}
		for part := range 64 {
			txn.Remove = append(txn.Remove, platform.RowKey{Table: "workers", Partition: pool, Key: fmt.Sprintf("part%02d", part)})
		}
		_, err = e.rows.As("earlier").CommitRows(context.Background(), txn)
		c.Assert(err, qt.IsNil)

		e.locked(func() { e.faults["renew w1 b"] = "lost-before" })
		e.locked(func() { e.listed = nil })
		for _, vm := range []string{"w1", "w2"} {
			e.machines = append(e.machines, platform.Machine{VM: vm, Worker: vm, Pool: pool, State: platform.MachineUp})
		}
		e.addWorker("w2", "w2", "w2", "4000", "0")
		c.Assert(e.own("b"), qt.Equals, "term 2\n")
		time.Sleep(30 * time.Second)
		c.Check(e.witness.promises(), qt.Equals, "kept\n")
		c.Check(e.workers.Running("w2"), qt.HasLen, 1)
	})
}

// TestEarlierVersionTakesOver: what this version keeps is no record to an earlier one, which has
// to take it that any worker may hold a lease.
func TestEarlierVersionTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := ownedEstate(t)
		defer e.close()
		page, err := e.rows.As("earlier").ListRows(context.Background(), "workers", pool, "row")
		c.Assert(err, qt.IsNil)
		c.Assert(page.Rows, qt.Not(qt.HasLen), 0)
		var set earlierRecord
		c.Check(msgpack.Unmarshal(page.Rows[0].Value, &set), qt.IsNotNil)
	})
}

// TestPartsFindPlanted shows that drawn courses find an owner that does not see one of the parts of
// the record, or sees none.
func TestPartsFindPlanted(t *testing.T) {
	for name, hidden := range map[string]int{"no parts": 64, "all but the first": 1} {
		t.Run(name, func(t *testing.T) {
			plant := func(e *estate) {
				e.breakRows = func(r platform.Rows) platform.Rows { return partless{Rows: r, hidden: hidden} }
			}
			qt.Assert(t, prop.FindsFailure(t, property(plant)), qt.IsTrue)
		})
	}
}

// partless hides the first parts of the record of leased workers.
type partless struct {
	platform.Rows
	hidden int
}

func (p partless) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
	page, err := p.Rows.ListRows(ctx, table, partition, from)
	hidden := 0
	page.Rows = slices.DeleteFunc(page.Rows, func(r platform.Row) bool {
		if table != "workers" || !strings.HasPrefix(r.Key, "part") || hidden >= p.hidden {
			return false
		}
		hidden++
		return true
	})
	return page, err
}

// TestRefusedTransaction has the table service refuse the content of a transaction that keeps two jobs:
// each is kept alone. Tried again as it was, for ever, it held up all that followed.
func TestRefusedTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := ownedEstate(t)
		defer e.close()
		taken := make(chan string, 3)
		for i, id := range []string{"j1", "j2", "j3"} {
			go func() { taken <- e.submit("a", "", id, "1x1000/300ms") }()
			time.Sleep(time.Millisecond)
			if i == 0 { // its transaction is under way, the next one takes the others
				e.locked(func() { e.faults["rows commit a"], e.faultTimes["rows commit a"] = fake.FaultRefused, 1 })
			}
		}
		for range 3 {
			c.Check(<-taken, qt.Equals, "ok\n")
		}
		synctest.Wait()
		c.Check(strings.Count(e.log.String(), "transaction_refused"), qt.Equals, 1)
		time.Sleep(2 * time.Second)
		for _, id := range []string{"j1", "j2", "j3"} {
			c.Check(e.stateOf("a", id), qt.Equals, "ok completed")
		}
		c.Check(e.witness.promises(), qt.Equals, "kept\n")
	})
}

// TestJobThatCannotBeLaidOut has an earlier version accept 256 steps of 4,096 tasks, which took 188 MB and
// a third of a second of each owner in turn. A takeover sets the job apart: its state is not told, no
// task of it starts, and the pool's other jobs go on.
func TestJobThatCannotBeLaidOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := ownedEstate(t)
		defer e.close()
		c.Assert(e.submit("a", "", "j1", "1x1000/5s"), qt.Equals, "ok\n")
		e.owners["a"].Close()
		e.setOwner("a", nil)
		wide := jobs.Record{Queue: queue, MaxAttempts: maxAttempts, Spec: jobs.Spec{Steps: slices.Repeat([]jobs.Step{{Count: 4096}}, 256)}}
		raw, err := wide.Encode()
		c.Assert(err, qt.IsNil)
		_, err = e.rows.As("earlier").CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{
			{RowKey: platform.RowKey{Table: "job", Partition: pool, Key: "wide"}, Value: raw},
		}})
		c.Assert(err, qt.IsNil)
		c.Assert(e.own("b"), qt.Equals, "term 2\n")
		time.Sleep(10 * time.Second)
		c.Check(e.stateOf("b", "j1"), qt.Equals, "ok completed")
		c.Check(e.stateOf("b", "wide"), qt.Equals, "unknown")
		c.Check(e.submit("b", "", "j2", "1x1000/1s"), qt.Equals, "ok\n")
		synctest.Wait()
		c.Check(strings.Contains(e.log.String(), "row_malformed"), qt.IsTrue)
		c.Check(e.witness.promises(), qt.Equals, "kept\n")
	})
}
