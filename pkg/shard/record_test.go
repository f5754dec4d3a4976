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

// ownedCluster is a deployment with one worker, w1, that has reported to an owner, a.
func ownedCluster(t *testing.T) *testCluster {
	e := newTestCluster(t)
	e.addWorker("w1", "w1", "w1", "4000", "0")
	qt.Assert(t, e.startOwner("a"), qt.Equals, "term 1\n")
	time.Sleep(time.Second)
	return e
}

// stateOf returns the state of a job as an owner reports it.
func (e *testCluster) stateOf(entry, id string) string {
	return strings.TrimSpace(e.state(entry, id, shard.Requester{Operator: true}))
}

// oldRecord is the record of leased workers, those that may hold a lease, as earlier versions store it
// in one row.
type oldRecord []struct {
	Boot    string `msgpack:"b"`
	VM      string `msgpack:"v"`
	Address string `msgpack:"a"`
}

// recordRow returns the row in which earlier versions store the record.
func recordRow(value []byte) platform.Row {
	return platform.Row{RowKey: platform.RowKey{Table: "workers", Partition: pool, Key: "row"}, Value: value}
}

// TestEarlierRecord checks that the new owner reads the record of an earlier version, and waits for
// the leases of the worker named there.
func TestEarlierRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := ownedCluster(t)
		defer e.close()
		c.Assert(e.submit("a", "", "j1", "1x1000/0s"), qt.Equals, "ok\n")
		time.Sleep(time.Second)
		e.owners["a"].Close()
		e.setOwner("a", nil)

		raw, err := msgpack.Marshal(oldRecord{{Boot: "w1", VM: "w1", Address: "w1"}})
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
		c.Assert(e.startOwner("b"), qt.Equals, "term 2\n")
		time.Sleep(30 * time.Second)
		c.Check(e.observer.invariants(), qt.Equals, "kept\n")
		c.Check(e.workers.Running("w2"), qt.HasLen, 1)
	})
}

// TestEarlierVersionTakesOver checks that decoding the present record as an earlier version does
// fails, rather than yielding a wrong list of leased workers.
func TestEarlierVersionTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := ownedCluster(t)
		defer e.close()
		page, err := e.rows.As("earlier").ListRows(context.Background(), "workers", pool, "row")
		c.Assert(err, qt.IsNil)
		c.Assert(page.Rows, qt.Not(qt.HasLen), 0)
		var set oldRecord
		c.Check(msgpack.Unmarshal(page.Rows[0].Value, &set), qt.IsNotNil)
	})
}

// TestPartsDetectsFaults checks that random scenarios detect an owner that does not see some parts of
// the record, or any.
func TestPartsDetectsFaults(t *testing.T) {
	for name, hidden := range map[string]int{"no parts": 64, "all but the first": 1} {
		t.Run(name, func(t *testing.T) {
			inject := func(e *testCluster) {
				e.wrapRows = func(r platform.Rows) platform.Rows { return withoutParts{Rows: r, hidden: hidden} }
			}
			qt.Assert(t, prop.FindsFailureFrom(t, 13, ownerScenario(inject)), qt.IsTrue)
		})
	}
}

// withoutParts hides the first parts of the record of leased workers.
type withoutParts struct {
	platform.Rows
	hidden int
}

func (p withoutParts) ListRows(ctx context.Context, table, partition, from string) (platform.RowPage, error) {
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

// TestRefusedTransaction checks that, if a transaction of two jobs is refused, each is written alone
// and the jobs after them are not blocked.
func TestRefusedTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := ownedCluster(t)
		defer e.close()
		taken := make(chan string, 3)
		for i, id := range []string{"j1", "j2", "j3"} {
			go func() { taken <- e.submit("a", "", id, "1x1000/300ms") }()
			time.Sleep(time.Millisecond)
			if i == 0 { // its transaction is under way, the next one takes the others
				e.locked(func() { e.faults["rows commit a"], e.faultsLeft["rows commit a"] = fake.FaultRefused, 1 })
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
		c.Check(e.observer.invariants(), qt.Equals, "kept\n")
	})
}

// TestOversizedStoredJob checks that a stored job too large for this version does not block a
// takeover: the owner reports that job's state as unknown, starts none of its tasks, and runs others.
func TestOversizedStoredJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := ownedCluster(t)
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
		c.Assert(e.startOwner("b"), qt.Equals, "term 2\n")
		time.Sleep(10 * time.Second)
		c.Check(e.stateOf("b", "j1"), qt.Equals, "ok completed")
		c.Check(e.stateOf("b", "wide"), qt.Equals, "unknown")
		c.Check(e.submit("b", "", "j2", "1x1000/1s"), qt.Equals, "ok\n")
		synctest.Wait()
		c.Check(strings.Contains(e.log.String(), "row_malformed"), qt.IsTrue)
		c.Check(e.observer.invariants(), qt.Equals, "kept\n")
	})
}
