package shard_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// slowStart delays the start of one task on its way to the worker.
type slowStart struct {
	platform.Workers
	task  string
	delay time.Duration
}

// StartAttempt implements platform.Workers.
func (f *slowStart) StartAttempt(ctx context.Context, w platform.WorkerRef, o platform.StartOrder) (int64, error) {
	if o.Task == f.task {
		time.Sleep(f.delay)
	}
	return f.Workers.StartAttempt(ctx, w, o)
}

// TestStartOvertakenByOldAnswer guards against taking a start for one at the old boot if that has answered a poll after
// the start was sent and before the next boot received it.
func TestStartOvertakenByOldAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestCluster(t)
		defer e.close()
		e.keepWorkerIDs = true
		e.wrapWorkers = func(w platform.Workers) platform.Workers {
			return &slowStart{Workers: w, task: jobID(2) + ".0.0.0", delay: 200 * time.Millisecond}
		}
		e.addWorker("w1", "w1", "w1", "4000", "0")
		c.Assert(e.startOwner("a"), qt.Equals, "term 1\n")
		time.Sleep(time.Minute)
		c.Assert(e.submit("a", "", jobID(1), "1x500/100ms"), qt.Equals, "ok\n")
		time.Sleep(500 * time.Millisecond)
		c.Assert(e.submit("a", "", jobID(3), "1x500/600ms"), qt.Equals, "ok\n") // its end has a poll answered
		time.Sleep(500 * time.Millisecond)
		c.Assert(e.submit("a", "", jobID(2), "1x1000/25s"), qt.Equals, "ok\n")
		time.Sleep(150 * time.Millisecond)
		e.restart("w1", true, 30*time.Second)
		time.Sleep(49 * time.Millisecond)
		e.locked(func() { e.faults["renew w1 *"] = fake.FaultLostBefore })
		time.Sleep(5 * time.Millisecond)
		e.cutOffWorker("w1", "*")
		e.addWorker("w2", "w2", "w2", "4000", "0")
		time.Sleep(70 * time.Second)
		c.Check(e.observer.invariants(), qt.Equals, "kept\n")
	})
}

// untoldMisreads writes the record as an earlier version does, which does not tell of misread deadlines.
type untoldMisreads struct{ platform.Rows }

// CommitRows implements platform.Rows.
func (f untoldMisreads) CommitRows(ctx context.Context, txn platform.RowTxn) (int64, error) {
	for i := range txn.Put {
		var set []map[string]any
		if txn.Put[i].Table != "workers" || msgpack.Unmarshal(txn.Put[i].Value, &set) != nil {
			continue
		}
		for _, w := range set {
			delete(w, "m")
		}
		txn.Put[i].Value, _ = msgpack.Marshal(set)
	}
	return f.Rows.CommitRows(ctx, txn)
}

// TestReleasedByEarlierVersion guards against taking what an earlier version does not store for a statement that no
// worker has restarted.
func TestReleasedByEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := newTestCluster(t)
		defer e.close()
		e.keepWorkerIDs = true
		e.addWorker("w1", "w1", "w1", "4000", "0")
		e.wrapRows = func(r platform.Rows) platform.Rows { return untoldMisreads{r} }
		c.Assert(e.startOwner("a"), qt.Equals, "term 1\n")
		time.Sleep(time.Minute)
		c.Assert(e.submit("a", "", jobID(1), "1x500/100ms"), qt.Equals, "ok\n")
		time.Sleep(500 * time.Millisecond)
		e.restart("w1", true, 8*time.Second)
		c.Assert(e.submit("a", "", jobID(2), "2x1000/25s"), qt.Equals, "ok\n")
		time.Sleep(time.Second)
		e.addWorker("w2", "w2", "w2", "4000", "0")
		e.cutOffWorker("w1", "*")
		e.owners["a"].Release(context.Background(), "")
		e.setOwner("a", nil)
		e.wrapRows = nil
		c.Assert(e.startOwner("b"), qt.Equals, "term 2\n")
		time.Sleep(70 * time.Second)
		c.Check(e.observer.invariants(), qt.Equals, "kept\n")
	})
}
