package node

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// waitingQueue is the queue that the tests of this file submit to.
var waitingQueue = &catalog.Queue{Name: testQueue, Pool: testPool, MaxAttempts: 1}

// peerEntry starts another entry that answers calls by a function, and lets n know it.
func peerEntry(ctx context.Context, c *qt.C, n *Node, name string, answer func(ctx context.Context, q *schema.Call) *schema.CallReply) ownership.Member {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = peer.NewCallServer(ln, answer, testLog()).Serve(ctx) }()
	m := ownership.Member{Name: name, Address: ln.Addr().String(), Start: 1}
	listEntry(ctx, c, n, m)
	return m
}

// listEntry lets n know another entry, which it pings until ctx ends.
func listEntry(ctx context.Context, c *qt.C, n *Node, m ownership.Member) {
	raw, err := msgpack.Marshal(m)
	c.Assert(err, qt.IsNil)
	n.members.Apply(ctx, platform.Row{RowKey: platform.RowKey{Table: ownership.TableMember, Key: m.Name}, Value: raw, Version: 1})
}

// own has n learn that an entry owns the pool.
func own(c *qt.C, n *Node, m ownership.Member, term int64) {
	raw, err := shard.EncodeOwner(shard.OwnerRow{Entry: m.Name, Start: m.Start, Address: m.Address, Term: term})
	c.Assert(err, qt.IsNil)
	n.keeper.ApplyOwner(testPool, platform.Row{Value: raw, Version: term})
}

func takes(context.Context, *schema.Call) *schema.CallReply {
	return &schema.CallReply{Outcome: schema.CallOutcomeOk, OwnersVersion: -1}
}

// silent does not answer while the test goes on.
func silent(ctx context.Context, _ *schema.Call) *schema.CallReply {
	<-ctx.Done()
	return &schema.CallReply{Outcome: schema.CallOutcomeUnknown}
}

// TestSubmissionOutlastsTakeover has the owner of a shard not answer, say that it
// cannot take anything, or be gone, and another one follow after 600 ms: the
// submission is taken by that one. Before, it was refused after 120 ms or of
// unknown outcome after 1.8 s, and its caller came again a second later: on days
// on which a zone is cut off that made 30 of 800 jobs late, 18 now.
func TestSubmissionOutlastsTakeover(t *testing.T) {
	for name, first := range map[string]func(ctx context.Context, q *schema.Call) *schema.CallReply{
		"silent": silent,
		"refuses": func(context.Context, *schema.Call) *schema.CallReply {
			return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
		},
		"no owner any more": func(context.Context, *schema.Call) *schema.CallReply {
			return &schema.CallReply{Outcome: schema.CallOutcomeNotOwner}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			n := newIdleNode(fake.NewRows(time.Millisecond, time.Second))
			own(c, n, peerEntry(ctx, c, n, "e1", first), 1)
			second := peerEntry(ctx, c, n, "e2", takes)
			time.AfterFunc(600*time.Millisecond, func() { own(c, n, second, 2) })
			c.Check(n.Submit(ctx, waitingQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeOk)
		})
	}
}

// TestUnknownStaysUnknown has an owner take a submission and not tell, and the next
// one refuse it: the caller must not be told that its job was not taken.
func TestUnknownStaysUnknown(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newIdleNode(fake.NewRows(time.Millisecond, time.Second))
	own(c, n, peerEntry(ctx, c, n, "e1", silent), 1)
	second := peerEntry(ctx, c, n, "e2", func(context.Context, *schema.Call) *schema.CallReply {
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	})
	time.AfterFunc(200*time.Millisecond, func() { own(c, n, second, 2) })
	c.Check(n.Submit(ctx, waitingQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeUnknown)
}

// TestCallerGoneEndsWait has a caller leave while its submission waits for an owner:
// the wait ends with it and asks no one any more.
func TestCallerGoneEndsWait(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newIdleNode(fake.NewRows(time.Millisecond, time.Second))
	var asked atomic.Int64
	own(c, n, peerEntry(ctx, c, n, "e1", func(_ context.Context, q *schema.Call) *schema.CallReply {
		if q.Kind == schema.CallKindSubmit {
			asked.Add(1)
		}
		return &schema.CallReply{Outcome: schema.CallOutcomeNotOwner}
	}), 1)
	callerCtx, leave := context.WithTimeout(ctx, 400*time.Millisecond)
	defer leave()
	c.Check(n.Submit(callerCtx, waitingQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeRefused)
	c.Check(asked.Load() <= 4, qt.IsTrue, qt.Commentf("asked %d times in 400 ms", asked.Load()))
}

// TestOutageIsNotWaitedFor has the table service not answer: no other owner can
// follow, and the submission is refused at once.
func TestOutageIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(time.Millisecond, time.Second)
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultDown })
		n := newIdleNode(rows)
		_, err := n.rows.ListRows(context.Background(), "any", "", "")
		c.Assert(err, qt.IsNotNil)
		began := time.Now()
		c.Check(n.Submit(context.Background(), waitingQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeRefused)
		c.Check(time.Since(began) <= ownerWait, qt.IsTrue)
	})
}

// TestUnknownOutlastsOutage has an owner take a submission and not tell, and the
// next one refuse it while the table service is lost here: no more is known of the
// submission than before, although there is no use in waiting any more. Jobs whose
// every submission was refused were started, 2 to 29 a day on four of 80 days.
func TestUnknownOutlastsOutage(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rows := fake.NewRows(time.Millisecond, time.Second)
	n := newIdleNode(rows)
	own(c, n, peerEntry(ctx, c, n, "e1", silent), 1)
	second := peerEntry(ctx, c, n, "e2", func(ctx context.Context, q *schema.Call) *schema.CallReply {
		if q.Kind != schema.CallKindSubmit {
			return takes(ctx, q)
		}
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultDown })
		_, _ = n.rows.ListRows(ctx, "any", "", "") // fails, which is what the node is to see
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	})
	time.AfterFunc(200*time.Millisecond, func() { own(c, n, second, 2) })
	c.Check(n.Submit(ctx, waitingQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeUnknown)
}

// TestEndOfStopEndsWait has a submission wait for an owner that does not answer when
// the node's planned stop comes to its end: it is answered at once, as unknown. The
// connection was closed without an answer.
func TestEndOfStopEndsWait(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newIdleNode(fake.NewRows(time.Millisecond, time.Second))
	own(c, n, peerEntry(ctx, c, n, "e1", silent), 1)
	time.AfterFunc(200*time.Millisecond, n.endAnswer)
	started := time.Now()
	c.Check(n.Submit(ctx, waitingQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeUnknown)
	c.Check(time.Since(started) < time.Second, qt.IsTrue)
}
