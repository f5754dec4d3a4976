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

// submitQueue is the queue that the tests of this file submit to.
var submitQueue = &catalog.Queue{Name: testQueue, Pool: testPool, MaxAttempts: 1}

// peerEntry starts another entry that answers calls by a function, and lists it at n.
func peerEntry(ctx context.Context, c *qt.C, n *Node, name string, answer func(ctx context.Context, q *schema.Call) *schema.CallReply) ownership.Member {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = peer.NewCallServer(ln, answer, testLog()).Serve(ctx) }()
	m := ownership.Member{Name: name, Address: ln.Addr().String(), Start: 1}
	listEntry(ctx, c, n, m)
	return m
}

// listEntry lists another entry at n, which pings it until ctx ends.
func listEntry(ctx context.Context, c *qt.C, n *Node, m ownership.Member) {
	raw, err := msgpack.Marshal(m)
	c.Assert(err, qt.IsNil)
	n.members.Apply(ctx, platform.Row{RowKey: platform.RowKey{Table: ownership.TableMember, Key: m.Name}, Value: raw, Version: 1})
}

// setOwner applies an owner row at n that names an entry as the owner of testPool.
func setOwner(c *qt.C, n *Node, m ownership.Member, term int64) {
	raw, err := shard.EncodeOwner(shard.OwnerRow{Entry: m.Name, Start: m.Start, Address: m.Address, Term: term})
	c.Assert(err, qt.IsNil)
	n.ownership.ApplyOwner(testPool, platform.Row{Value: raw, Version: term})
}

func accept(context.Context, *schema.Call) *schema.CallReply {
	return &schema.CallReply{Outcome: schema.CallOutcomeOk, OwnersVersion: -1}
}

// neverAnswer does not answer before ctx ends.
func neverAnswer(ctx context.Context, _ *schema.Call) *schema.CallReply {
	<-ctx.Done()
	return &schema.CallReply{Outcome: schema.CallOutcomeUnknown}
}

// TestSubmissionOutlastsTakeover guards against refusing a submission during a takeover, when the
// former owner does not answer, refuses or no longer owns the shard, and the next owner accepts.
func TestSubmissionOutlastsTakeover(t *testing.T) {
	for name, first := range map[string]func(ctx context.Context, q *schema.Call) *schema.CallReply{
		"silent": neverAnswer,
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
			setOwner(c, n, peerEntry(ctx, c, n, "e1", first), 1)
			second := peerEntry(ctx, c, n, "e2", accept)
			time.AfterFunc(600*time.Millisecond, func() { setOwner(c, n, second, 2) })
			c.Check(n.Submit(ctx, submitQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeOk)
		})
	}
}

// TestNewOwnerAfterOutage guards against leaving the outcome of a submission unknown although a new
// owner accepts it: it was sent to a silent owner while the table service was away.
func TestNewOwnerAfterOutage(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rows := fake.NewRows(time.Millisecond, time.Second)
	rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultDown })
	n := newIdleNode(rows)
	setOwner(c, n, peerEntry(ctx, c, n, "e1", neverAnswer), 1)
	second := peerEntry(ctx, c, n, "e2", accept)
	_, err := n.rows.ListRows(ctx, "any", "", "")
	c.Assert(err, qt.IsNotNil)
	time.AfterFunc(600*time.Millisecond, func() { setOwner(c, n, second, 2) })
	c.Check(n.Submit(ctx, submitQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeOk)
}

// TestUnknownStaysUnknown guards against reporting a submission as refused when an earlier owner
// may have accepted it.
func TestUnknownStaysUnknown(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newIdleNode(fake.NewRows(time.Millisecond, time.Second))
	setOwner(c, n, peerEntry(ctx, c, n, "e1", neverAnswer), 1)
	second := peerEntry(ctx, c, n, "e2", func(context.Context, *schema.Call) *schema.CallReply {
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	})
	time.AfterFunc(200*time.Millisecond, func() { setOwner(c, n, second, 2) })
	c.Check(n.Submit(ctx, submitQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeUnknown)
}

// TestCallerGoneEndsWait checks that a submission stops waiting for an owner when its caller
// leaves.
func TestCallerGoneEndsWait(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newIdleNode(fake.NewRows(time.Millisecond, time.Second))
	var asked atomic.Int64
	setOwner(c, n, peerEntry(ctx, c, n, "e1", func(_ context.Context, q *schema.Call) *schema.CallReply {
		if q.Kind == schema.CallKindSubmit {
			asked.Add(1)
		}
		return &schema.CallReply{Outcome: schema.CallOutcomeNotOwner}
	}), 1)
	callerCtx, leave := context.WithTimeout(ctx, 400*time.Millisecond)
	defer leave()
	c.Check(n.Submit(callerCtx, submitQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeRefused)
	c.Check(asked.Load() <= 4, qt.IsTrue, qt.Commentf("asked %d times in 400 ms", asked.Load()))
}

// TestNoWaitInOutage checks that a submission is refused at once while the table service does not
// answer, since no new owner can be expected.
func TestNoWaitInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fake.NewRows(time.Millisecond, time.Second)
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultDown })
		n := newIdleNode(rows)
		_, err := n.rows.ListRows(context.Background(), "any", "", "")
		c.Assert(err, qt.IsNotNil)
		began := time.Now()
		c.Check(n.Submit(context.Background(), submitQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeRefused)
		c.Check(time.Since(began) <= ownerWait, qt.IsTrue)
	})
}

// TestUnknownOutlastsOutage guards against reporting a submission as refused when an earlier owner
// may have accepted it and the table service was lost since.
func TestUnknownOutlastsOutage(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rows := fake.NewRows(time.Millisecond, time.Second)
	n := newIdleNode(rows)
	setOwner(c, n, peerEntry(ctx, c, n, "e1", neverAnswer), 1)
	second := peerEntry(ctx, c, n, "e2", func(ctx context.Context, q *schema.Call) *schema.CallReply {
		if q.Kind != schema.CallKindSubmit {
			return accept(ctx, q)
		}
		rows.SetFault(func(fake.RowOp, string) fake.Fault { return fake.FaultDown })
		_, _ = n.rows.ListRows(ctx, "any", "", "") // fails, so the node records the loss of the service
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	})
	time.AfterFunc(200*time.Millisecond, func() { setOwner(c, n, second, 2) })
	c.Check(n.Submit(ctx, submitQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeUnknown)
}

// TestEndOfStopEndsWait guards against closing a connection unanswered: a submission that waits for
// an owner is answered as unknown when the planned stop cancels it.
func TestEndOfStopEndsWait(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newIdleNode(fake.NewRows(time.Millisecond, time.Second))
	setOwner(c, n, peerEntry(ctx, c, n, "e1", neverAnswer), 1)
	time.AfterFunc(200*time.Millisecond, n.cancelWaits)
	started := time.Now()
	c.Check(n.Submit(ctx, submitQueue, "", "0000000000000001", jobs.Spec{}), qt.Equals, schema.CallOutcomeUnknown)
	c.Check(time.Since(started) < time.Second, qt.IsTrue)
}
