package shard_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// withMovingQueue runs a test with the owners of all pools, in virtual time.
func withMovingQueue(t *testing.T, f func(c *qt.C, m *movingQueue)) {
	synctest.Test(t, func(t *testing.T) {
		m := newMovingQueue(t)
		defer m.close()
		for _, pool := range movingPools {
			m.open(pool)
		}
		f(qt.New(t), m)
	})
}

// submitTo submits a job to the owner of a pool.
func (m *movingQueue) submitTo(pool, id, account string, version int64) schema.CallOutcome {
	return m.owner(pool, 0).Submit(context.Background(), id, jobs.Record{Queue: "q", Route: movingRoute, CatalogVersion: version, Account: account, MaxAttempts: 3})
}

// leave has the queue leave a pool for another one.
func (m *movingQueue) leave(pool string, version int64, to string) schema.CallOutcome {
	return m.owner(pool, 0).CloseQueue(context.Background(), movingRoute, version, to)
}

// storedJobs returns the number of jobs that a pool has stored.
func (m *movingQueue) storedJobs(pool string) (n int) {
	_, err := platform.ListAll(context.Background(), m.rows.As(fake.Operator), "job", pool, func(platform.Row) { n++ })
	if err != nil {
		m.t.Fatal(err)
	}
	return n
}

// TestQueueLeavesDuringSearch guards against a job that is accepted after its queue has left, while it was sought in
// the former pools.
func TestQueueLeavesDuringSearch(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("alpha", "j1", "", 1), qt.Equals, schema.CallOutcomeOk)
		c.Assert(m.submitTo("beta", "j2", "", 2), qt.Equals, schema.CallOutcomeOk)
		m.searching = func() { c.Check(m.leave("beta", 3, "gamma"), qt.Equals, schema.CallOutcomeOk) }
		c.Check(m.submitTo("beta", "j3", "", 2), qt.Equals, schema.CallOutcomeRefused)
		c.Check(m.storedJobs("beta"), qt.Equals, 1)
	})
}

// TestQueueLeavesDuringClaim guards against a shard that accepts jobs of a queue which has left it before it knew that
// it had it.
func TestQueueLeavesDuringClaim(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		m.wrapRows = func(r platform.Rows) platform.Rows {
			return afterClaim{Rows: r, f: func() { c.Check(m.leave("alpha", 2, "beta"), qt.Equals, schema.CallOutcomeOk) }}
		}
		m.open("alpha")
		c.Check(m.submitTo("alpha", "j1", "", 1), qt.Equals, schema.CallOutcomeMoved)
		c.Check(m.storedJobs("alpha"), qt.Equals, 0)
	})
}

// TestFormerOwnerReplacedDuringClaim guards against a queue that the next owner of its former pool accepts jobs of, since
// the queue's row does not name its new pool yet.
func TestFormerOwnerReplacedDuringClaim(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("alpha", "j1", "", 1), qt.Equals, schema.CallOutcomeOk)
		m.left = func() {
			c.Check(m.open("alpha"), qt.IsTrue)
			c.Check(m.submitTo("alpha", "j2", "", 1), qt.Equals, schema.CallOutcomeMoved)
		}
		c.Check(m.submitTo("beta", "j2", "", 2), qt.Equals, schema.CallOutcomeOk)
		c.Check(m.storedJobs("alpha"), qt.Equals, 1)
	})
}

// afterClaim calls a function once the pools of a queue are written, before the writer knows.
type afterClaim struct {
	platform.Rows
	f func()
}

func (r afterClaim) CommitRows(ctx context.Context, txn platform.RowTxn) (version int64, err error) {
	version, err = r.Rows.CommitRows(ctx, txn)
	if len(txn.Put) > 0 && txn.Put[0].Table == "queue" {
		r.f()
	}
	return version, err
}

// TestQueueLeavesAfterSubmissions guards against submissions that are stored after it was reported that their queue
// has left.
func TestQueueLeavesAfterSubmissions(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("alpha", "first", "", 1), qt.Equals, schema.CallOutcomeOk)
		const count = 400 // more than fit into one transaction
		var wg sync.WaitGroup
		for i := range count {
			wg.Go(func() { m.submitTo("alpha", jobID(i), "", 1) })
		}
		synctest.Wait()
		c.Check(m.leave("alpha", 2, "beta"), qt.Equals, schema.CallOutcomeOk)
		c.Check(m.storedJobs("alpha"), qt.Equals, count+1)
		wg.Wait()
	})
}

// TestLateEntryFindsQueue guards against refusing a job at a shard that never had its queue, when the entry knows an
// earlier configuration than that by which the queue came to its pool.
func TestLateEntryFindsQueue(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("beta", "j1", "", 2), qt.Equals, schema.CallOutcomeOk)
		c.Check(m.submitTo("alpha", "j2", "", 1), qt.Equals, schema.CallOutcomeMoved)
		c.Check(m.owner("alpha", 0).Queue(movingRoute).Others, qt.DeepEquals, []string{"beta"})
	})
}

// TestLateCloseQueue guards against a queue that leaves its pool by an earlier configuration than that by which it came.
func TestLateCloseQueue(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("alpha", "j1", "", 5), qt.Equals, schema.CallOutcomeOk)
		c.Check(m.leave("alpha", 3, "beta"), qt.Equals, schema.CallOutcomeRefused)
		c.Check(m.submitTo("alpha", "j2", "", 5), qt.Equals, schema.CallOutcomeOk)
	})
}

// TestCloseQueueAwaitsStore guards against reporting that a queue has left before that is stored.
func TestCloseQueueAwaitsStore(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("alpha", "j1", "", 1), qt.Equals, schema.CallOutcomeOk)
		m.faults.Store(fake.RowCommit, fake.FaultDown)
		c.Check(m.leave("alpha", 2, "beta"), qt.Equals, schema.CallOutcomeUnknown)
		c.Check(m.leave("alpha", 2, "beta"), qt.Equals, schema.CallOutcomeUnknown)
		m.faults.Clear()
		c.Check(m.leave("alpha", 2, "beta"), qt.Equals, schema.CallOutcomeOk)
	})
}

// TestRefusedCloseQueue guards against a queue whose leaving is never stored after the table service refused the row.
func TestRefusedCloseQueue(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("alpha", "j1", "", 1), qt.Equals, schema.CallOutcomeOk)
		time.Sleep(time.Second)
		m.faults.Store(fake.RowCommit, fake.FaultRefused)
		time.AfterFunc(100*time.Millisecond, m.faults.Clear)
		c.Check(m.leave("alpha", 2, "beta"), qt.Equals, schema.CallOutcomeOk)
	})
}

// TestAccountInFormerPool guards against telling one account of another account's job in a former pool.
func TestAccountInFormerPool(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("alpha", "j1", "north", 1), qt.Equals, schema.CallOutcomeOk)
		c.Check(m.submitTo("beta", "j1", "south", 2), qt.Equals, schema.CallOutcomeRefused)
		c.Check(m.submitTo("beta", "j1", "north", 2), qt.Equals, schema.CallOutcomeOk)
		c.Check(m.storedJobs("beta"), qt.Equals, 0)
	})
}

// TestClaimInOutage guards against a submission that waits for its queue while the shard can't store it anyway.
func TestClaimInOutage(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("beta", "j1", "", 1), qt.Equals, schema.CallOutcomeOk)
		m.faults.Store(fake.RowCommit, fake.FaultDown)
		m.faults.Store(fake.RowList, fake.FaultLostBefore)
		alpha := m.owner("alpha", 0)
		go alpha.Submit(context.Background(), "j2", jobs.Record{MaxAttempts: 3})
		time.Sleep(100 * time.Millisecond)
		since := time.Now()
		c.Check(m.submitTo("alpha", "j3", "", 2), qt.Equals, schema.CallOutcomeRefused)
		c.Check(time.Since(since), qt.Equals, time.Duration(0))
		time.Sleep(2 * time.Second)
	})
}

// TestQueueReturns guards against a queue that a pool refuses since it had left it before.
func TestQueueReturns(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		for version, pool := range []string{"", "alpha", "beta", "gamma", "alpha"} {
			if pool != "" {
				c.Check(m.submitTo(pool, jobID(version), "", int64(version)), qt.Equals, schema.CallOutcomeOk)
			}
		}
		pools, err := shard.ReadQueuePools(context.Background(), m.rows.As(fake.Operator), movingRoute)
		c.Assert(err, qt.IsNil)
		c.Check(pools.Names(), qt.DeepEquals, []string{"beta", "gamma", "alpha"})
		for version, pool := range []string{"", "alpha", "beta", "gamma"} {
			if pool != "" {
				c.Check(m.submitTo("alpha", jobID(version), "", 4), qt.Equals, schema.CallOutcomeOk)
				c.Check(m.submitTo("alpha", jobID(version), "", 4), qt.Equals, schema.CallOutcomeOk)
			}
		}
		c.Check(m.storedJobs("alpha"), qt.Equals, 2)
	})
}

// oddQueueRows are values that the row of a queue in its shard must not have.
func oddQueueRows(t fataler) map[string][]byte {
	other, err := msgpack.Marshal(map[string]any{"r": "jobs.example/other/", "v": 9})
	if err != nil {
		t.Fatal(err)
	}
	return map[string][]byte{"not packed": []byte("\xc1 not ours"), "of another type": {0x01}, "of another queue": other}
}

// corruptQueueRow overwrites the row of the queue in the shard of a pool.
func (m *movingQueue) corruptQueueRow(pool string, value []byte) {
	key := fmt.Sprintf("queue~%016x", xxhash.Sum64String(movingRoute))
	m.rows.Corrupt(platform.RowKey{Table: "workers", Partition: pool, Key: key}, value)
}

// TestMalformedQueueRow guards against a shard that is not taken over because it can't read whether a queue has left,
// or that accepts jobs of that queue without asking the queue's other pools.
func TestMalformedQueueRow(t *testing.T) {
	for name, odd := range oddQueueRows(t) {
		t.Run(name, func(t *testing.T) {
			withMovingQueue(t, func(c *qt.C, m *movingQueue) {
				c.Assert(m.submitTo("alpha", "j1", "", 1), qt.Equals, schema.CallOutcomeOk)
				c.Assert(m.submitTo("beta", "j2", "", 2), qt.Equals, schema.CallOutcomeOk)
				time.Sleep(time.Second)
				for _, pool := range []string{"alpha", "beta"} {
					m.corruptQueueRow(pool, odd)
					c.Assert(m.open(pool), qt.IsTrue)
				}
				c.Check(m.submitTo("alpha", "j3", "", 1), qt.Equals, schema.CallOutcomeMoved)
				c.Check(m.submitTo("beta", "j1", "", 2), qt.Equals, schema.CallOutcomeOk)
				c.Check(m.submitTo("beta", "j3", "", 2), qt.Equals, schema.CallOutcomeOk)
				c.Check(m.storedJobs("alpha"), qt.Equals, 1)
				c.Check(m.storedJobs("beta"), qt.Equals, 2)
				time.Sleep(time.Second)
				c.Assert(m.open("beta"), qt.IsTrue)
				c.Check(m.log.countLines(map[string]string{"event": "row_malformed", "table": "workers"}), qt.Equals, 2)
			})
		})
	}
}

// TestMalformedQueueRowDuringClaim guards against two pools that accept jobs of a queue, since the former one has
// forgotten that it left before the new one wrote that it has it.
func TestMalformedQueueRowDuringClaim(t *testing.T) {
	for name, odd := range oddQueueRows(t) {
		t.Run(name, func(t *testing.T) {
			withMovingQueue(t, func(c *qt.C, m *movingQueue) {
				c.Assert(m.submitTo("alpha", "j1", "", 1), qt.Equals, schema.CallOutcomeOk)
				m.left = func() {
					m.corruptQueueRow("alpha", odd)
					c.Assert(m.open("alpha"), qt.IsTrue)
					c.Check(m.submitTo("alpha", "j2", "", 1), qt.Equals, schema.CallOutcomeOk)
				}
				c.Check(m.submitTo("beta", "j2", "", 2), qt.Equals, schema.CallOutcomeOk)
				c.Check(m.submitTo("alpha", "j3", "", 1), qt.Equals, schema.CallOutcomeMoved)
				c.Check(m.storedJobs("alpha"), qt.Equals, 2)
				c.Check(m.storedJobs("beta"), qt.Equals, 0)
			})
		})
	}
}

// TestMalformedQueueRowKeepsVersion guards against a queue that a late configuration sends elsewhere, since its pool has
// forgotten by which one it came.
func TestMalformedQueueRowKeepsVersion(t *testing.T) {
	withMovingQueue(t, func(c *qt.C, m *movingQueue) {
		c.Assert(m.submitTo("alpha", "j1", "", 5), qt.Equals, schema.CallOutcomeOk)
		time.Sleep(time.Second)
		m.corruptQueueRow("alpha", []byte("\xc1 not ours"))
		c.Assert(m.open("alpha"), qt.IsTrue)
		c.Check(m.submitTo("alpha", "j2", "", 3), qt.Equals, schema.CallOutcomeOk)
		c.Check(m.submitTo("beta", "j3", "", 4), qt.Equals, schema.CallOutcomeMoved)
	})
}
