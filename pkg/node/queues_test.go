package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// queueCluster is a deployment of three entries and two pools, of which one has the queue.
type queueCluster struct {
	*qt.C
	rows    *fake.Rows
	workers *fake.Workers
	boots   []platform.Worker
	nodes   []*Node
	stop    func()
}

// startQueueCluster starts the entries. Tasks last as long as a job's text says.
func startQueueCluster(c *qt.C, firstAddress int) *queueCluster {
	qc := &queueCluster{C: c, rows: fake.NewRows(time.Millisecond, time.Second)}
	work := func(_, text string) fake.Work {
		length, _ := time.ParseDuration(text)
		return fake.Work{Needs: platform.Resources{CPU: 500}, Duration: length}
	}
	qc.workers = fake.NewWorkers(time.Millisecond, time.Second, 10*time.Millisecond, work, noopObserver{})
	for _, pool := range []string{"alpha", "beta"} {
		w := platform.Worker{Boot: pool + "-w", VM: pool, Pool: pool, Address: pool, Capacity: platform.Resources{CPU: 4000, MemoryMB: 1000}}
		qc.workers.Boot(w, 0)
		qc.boots = append(qc.boots, w)
		putJSON(c, qc.rows.As("operator"), "workers", w.Boot, w)
	}
	qc.configure(1, "first", "alpha", "alpha", "beta")
	qc.startEntries("e", firstAddress)
	qc.awaitVersion(1)
	return qc
}

// startEntries starts three entries in place of those that were stopped.
func (qc *queueCluster) startEntries(prefix string, firstAddress int) {
	var ended sync.WaitGroup
	qc.nodes = nil
	for i := range 3 {
		name := fmt.Sprintf("%s%d", prefix, i)
		n := newTestNode(qc.C, name, loopback(firstAddress+i), services{Rows: qc.rows.As(name), Workers: qc.workers.As(name), workers: qc.boots})
		qc.nodes = append(qc.nodes, n)
		ended.Go(func() { _ = n.Run(Handlers{JobAPI: http.NotFoundHandler(), Readiness: http.NotFoundHandler()}) })
	}
	qc.stop = func() {
		for _, n := range qc.nodes {
			n.Stop()
		}
		ended.Wait()
	}
}

// configure writes a configuration that sends the queue to a pool, and has the given pools.
func (qc *queueCluster) configure(version int64, name, pool string, pools ...string) {
	var all []catalog.Pool
	for _, p := range pools {
		all = append(all, catalog.Pool{Name: p, RejectsOverload: true})
	}
	putJSON(qc.C, qc.rows.As("operator"), "operator", "catalog", catalog.Catalog{
		Version: version, Queues: []catalog.Queue{{Name: name, Host: "jobs.example", Prefix: "/q/", Pool: pool, MaxAttempts: 3}},
		Pools: all,
	})
}

// awaitVersion waits until all entries are ready with a configuration of a version.
func (qc *queueCluster) awaitVersion(version int64) {
	for _, n := range qc.nodes {
		eventually(qc.C, "the configuration is known", func() bool {
			ready, _ := n.Ready()
			return ready && n.catalogVersion() == version
		})
	}
}

// queueAt returns the queue as an entry knows it.
func (qc *queueCluster) queueAt(n *Node) *catalog.Queue {
	q, _ := n.Catalog().Route("jobs.example", "/q/")
	return q
}

// submit submits a job with one task until its outcome is known.
func (qc *queueCluster) submit(n *Node, q *catalog.Queue, id, text string) {
	spec := jobs.Spec{Text: text, Steps: []jobs.Step{{Count: 1, Needs: platform.Resources{CPU: 500}}}}
	eventually(qc.C, "job "+id+" is accepted", func() bool {
		return n.Submit(context.Background(), q, "", id, spec) == schema.CallOutcomeOk
	})
}

// runsOf returns the workers that run the task of a job.
func (qc *queueCluster) runsOf(id string) (boots []string) {
	for _, w := range qc.boots {
		for _, task := range qc.workers.Running(w.Boot) {
			if strings.HasPrefix(task, id) {
				boots = append(boots, w.Boot)
			}
		}
	}
	return boots
}

func (qc *queueCluster) awaitRun(id, boot string) {
	eventually(qc.C, "job "+id+" runs", func() bool { return len(qc.runsOf(id)) > 0 })
	qc.Check(qc.runsOf(id), qt.DeepEquals, []string{boot}, qt.Commentf("job %s", id))
}

// TestQueueWithAnotherPool guards against jobs that all entries answer as absent, and that run twice when they are
// submitted again, after a configuration has sent their queue to another pool under another name.
func TestQueueWithAnotherPool(t *testing.T) {
	qc := startQueueCluster(qt.New(t), 61)
	defer qc.stop()
	ctx, by := context.Background(), shard.Requester{}
	stale := qc.queueAt(qc.nodes[0])
	const first, afterwards, both = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	qc.submit(qc.nodes[0], stale, first, "1h")
	qc.awaitRun(first, "alpha-w")
	qc.configure(4, "second", "beta", "alpha", "beta")
	qc.awaitVersion(4)
	for _, n := range qc.nodes {
		state, out := n.State(ctx, qc.queueAt(n), first, by)
		qc.Check(out, qt.Equals, schema.CallOutcomeOk)
		qc.Check(state, qt.Equals, jobs.StateRunning)
		qc.submit(n, qc.queueAt(n), first, "1h")
		_, out = n.State(ctx, qc.queueAt(n), "00000000000000ff", by)
		qc.Check(out, qt.Equals, schema.CallOutcomeNotFound)
	}
	// An entry that knows the earlier configuration only finds the queue too.
	qc.submit(qc.nodes[1], stale, afterwards, "1h")
	qc.awaitRun(afterwards, "beta-w")
	state, out := qc.nodes[2].State(ctx, stale, afterwards, by)
	qc.Check(out, qt.Equals, schema.CallOutcomeOk)
	qc.Check(state, qt.Equals, jobs.StateRunning)
	var wg sync.WaitGroup
	for i, n := range qc.nodes {
		for _, q := range []*catalog.Queue{stale, qc.queueAt(n)} {
			wg.Go(func() {
				time.Sleep(time.Duration(3*i) * time.Millisecond)
				qc.submit(n, q, both, "1h")
			})
		}
	}
	wg.Wait()
	qc.awaitRun(both, "beta-w")
	qc.Check(qc.runsOf(first), qt.DeepEquals, []string{"alpha-w"})
	qc.Check(qc.nodes[1].Cancel(ctx, qc.queueAt(qc.nodes[1]), first, by), qt.Equals, schema.CallOutcomeOk)
	eventually(qc.C, "the cancelled job is stopped", func() bool { return len(qc.runsOf(first)) == 0 })
}

// TestQueueMovesBesideSubmissions guards against a job that is accepted in two pools when entries learn of a
// configuration at different moments.
func TestQueueMovesBesideSubmissions(t *testing.T) {
	qc := startQueueCluster(qt.New(t), 71)
	defer qc.stop()
	pools := []string{"alpha", "beta"}
	for round := range 6 {
		id := fmt.Sprintf("%016x", 1+round)
		qc.configure(int64(2+round), fmt.Sprintf("queue-%d", round), pools[(1+round)%2], pools...)
		var wg sync.WaitGroup
		for i, n := range qc.nodes {
			wg.Go(func() {
				time.Sleep(time.Duration(2*i*(1+round)) * time.Millisecond)
				qc.submit(n, qc.queueAt(n), id, "1h")
			})
		}
		wg.Wait()
		qc.awaitVersion(int64(2 + round))
		for _, n := range qc.nodes {
			qc.submit(n, qc.queueAt(n), id, "1h")
		}
		time.Sleep(200 * time.Millisecond)
		qc.Check(qc.runsOf(id), qt.HasLen, 1, qt.Commentf("job %s", id))
	}
}

// TestWaitingInFormerPool guards against waiting jobs that are not counted after their queue has come to another pool.
func TestWaitingInFormerPool(t *testing.T) {
	qc := startQueueCluster(qt.New(t), 81)
	defer qc.stop()
	n := qc.nodes[0]
	for i := range 10 { // room for eight
		qc.submit(n, qc.queueAt(n), fmt.Sprintf("%016x", 1+i), "1h")
	}
	waiting := func(n *Node, q *catalog.Queue) int {
		count := 0
		eventually(qc.C, "the queue can be read", func() bool {
			var out schema.CallOutcome
			count, out = n.Waiting(context.Background(), q)
			return out == schema.CallOutcomeOk
		})
		return count
	}
	stale := qc.queueAt(n)
	eventually(qc.C, "two jobs wait", func() bool { return waiting(n, stale) == 2 })
	qc.configure(2, "second", "beta", "alpha", "beta")
	qc.awaitVersion(2)
	for _, n := range qc.nodes {
		qc.Check(waiting(n, qc.queueAt(n)), qt.Equals, 2)
	}
	for i := range 11 {
		qc.submit(n, qc.queueAt(n), fmt.Sprintf("%016x", 100+i), "1h")
	}
	for _, n := range qc.nodes {
		eventually(qc.C, "the jobs of both pools are counted", func() bool { return waiting(n, qc.queueAt(n)) == 5 })
		qc.Check(waiting(n, stale), qt.Equals, 5)
	}
}

// TestPoolOutOfConfiguration guards against jobs that can't be found any more when the configuration no longer names
// their pool and no entry remembers it.
func TestPoolOutOfConfiguration(t *testing.T) {
	qc := startQueueCluster(qt.New(t), 91)
	const id = "00000000000000a1"
	qc.submit(qc.nodes[0], qc.queueAt(qc.nodes[0]), id, "1h")
	qc.awaitRun(id, "alpha-w")
	qc.configure(2, "second", "beta", "beta")
	qc.stop()
	qc.startEntries("f", 94)
	defer qc.stop()
	qc.awaitVersion(2)
	for _, n := range qc.nodes {
		eventually(qc.C, "the job is found", func() bool {
			state, out := n.State(context.Background(), qc.queueAt(n), id, shard.Requester{})
			qc.Check(out, qt.Not(qt.Equals), schema.CallOutcomeNotFound)
			return out == schema.CallOutcomeOk && state == jobs.StateRunning
		})
		qc.submit(n, qc.queueAt(n), id, "1h")
	}
	qc.Check(qc.runsOf(id), qt.DeepEquals, []string{"alpha-w"})
}

// TestFormerOwnerIsNotBelieved guards against accepting a job anew because an owner that may have been replaced does not
// know it: only one that knows that the queue has left knows all jobs.
func TestFormerOwnerIsNotBelieved(t *testing.T) {
	qc := startQueueCluster(qt.New(t), 101)
	defer qc.stop()
	n := qc.nodes[0]
	const id = "00000000000000a1"
	eventually(qc.C, "the pool has an owner", func() bool {
		reply := n.callOwner(context.Background(), &schema.Call{Kind: schema.CallKindState, Pool: "alpha", Job: id, Operator: true})
		return reply.Outcome == schema.CallOutcomeNotFound
	})
	raw, err := (&jobs.Record{Queue: "first", Route: "jobs.example/q/"}).Encode()
	qc.Assert(err, qt.IsNil)
	_, err = qc.rows.As("operator").CommitRows(context.Background(), platform.RowTxn{Put: []platform.Row{{
		RowKey: platform.RowKey{Table: "job", Partition: "alpha", Key: id}, Value: raw,
	}}})
	qc.Assert(err, qt.IsNil)
	by := shard.Requester{Operator: true}
	former := shard.QueuePools{{Pool: "alpha", Version: 1}}
	qc.Check(n.findJobInFormer(context.Background(), former, "jobs.example/q/", id, by), qt.Equals, schema.CallOutcomeRefused)
	qc.Check(n.findJobInFormer(context.Background(), former, "jobs.example/q/", "00000000000000a2", by), qt.Equals, schema.CallOutcomeNotFound)
}

// TestFormerPoolsAreRemembered guards against a read of the table service for each look at a job in a former pool.
func TestFormerPoolsAreRemembered(t *testing.T) {
	qc := startQueueCluster(qt.New(t), 111)
	defer qc.stop()
	ctx, route := context.Background(), "jobs.example/q/"
	const id = "00000000000000a1"
	first, other := qc.nodes[0], qc.nodes[1]
	qc.submit(first, qc.queueAt(first), id, "1h")
	qc.configure(2, "second", "beta", "alpha", "beta")
	qc.awaitVersion(2)
	look := func(n *Node) time.Duration {
		eventually(qc.C, "the job is found", func() bool {
			_, out := n.State(ctx, qc.queueAt(n), id, shard.Requester{})
			return out == schema.CallOutcomeOk
		})
		return n.queuePools.get(route).readAt
	}
	readAt := look(first)
	qc.Check(readAt > 0, qt.IsTrue, qt.Commentf("the new pool does not know of the former one"))
	qc.Check(look(first), qt.Equals, readAt)
	qc.submit(first, qc.queueAt(first), "00000000000000a2", "1h")
	qc.Check(look(other), qt.Equals, time.Duration(0), qt.Commentf("the new pool tells of the former one"))
}

// TestLateEntryClaimsQueue guards against refusing what an entry with an earlier configuration submits while its queue
// has left the former pool and was not claimed for the next one.
func TestLateEntryClaimsQueue(t *testing.T) {
	qc := startQueueCluster(qt.New(t), 121)
	defer qc.stop()
	n := qc.nodes[0]
	stale := qc.queueAt(n)
	qc.submit(n, stale, "00000000000000a1", "1h")
	qc.Assert(n.closeQueue(context.Background(), "alpha", stale.Route(), 2, "beta"), qt.IsNil)
	qc.submit(n, stale, "00000000000000a2", "1h")
	qc.awaitRun("00000000000000a2", "beta-w")
}

// TestNoReadsWithoutOwner guards against reads of the table service for each look at a job while its pool has no owner.
func TestNoReadsWithoutOwner(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, "e0", loopback(131), services{Rows: fake.NewRows(time.Millisecond, time.Second).As("e0")})
	q := &catalog.Queue{Name: "first", Host: "jobs.example", Prefix: "/q/", Pool: "alpha"}
	_, out := n.State(context.Background(), q, "00000000000000a1", shard.Requester{})
	c.Check(out, qt.Equals, schema.CallOutcomeRefused)
	c.Check(n.queuePools.get(q.Route()).readAt, qt.Equals, time.Duration(0))
}

// TestWaitingIsReadOnce guards against a read of the table service by each entry that is asked for the waiting jobs of a
// queue that has had none.
func TestWaitingIsReadOnce(t *testing.T) {
	qc := startQueueCluster(qt.New(t), 141)
	defer qc.stop()
	readers := 0
	for _, n := range qc.nodes {
		eventually(qc.C, "the queue can be read", func() bool {
			_, out := n.Waiting(context.Background(), qc.queueAt(n))
			return out == schema.CallOutcomeOk
		})
	}
	for _, n := range qc.nodes {
		if n.queuePools.get("jobs.example/q/").readAt > 0 {
			readers++
		}
	}
	qc.Check(readers < len(qc.nodes), qt.IsTrue, qt.Commentf("%d entries have read", readers))
}
