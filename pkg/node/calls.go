package node

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// ownerWait is how long a call of another part of the system waits for a shard
	// to get an owner before it is refused; a handover takes less.
	ownerWait = 120 * time.Millisecond
	// callerWait is how long a caller's request waits for an owner that can take it.
	// An owner that falls silent is replaced within about 1.6 s; a caller that is
	// refused meanwhile comes again a second later, by which its job is late. It
	// gains 0.011 +- 0.006 of what callers get on days with trouble (80 pairs).
	callerWait = 2 * time.Second
	// askAgain is the pause before an owner that could not take a request is asked
	// again, unless the shard gets another one before.
	askAgain = 150 * time.Millisecond
	// forwardTimeout bounds a call to the owner; it is above what the owner itself may wait.
	forwardTimeout = 1800 * time.Millisecond
)

// Submit hands a job to the owner of its queue's shard.
func (n *Node) Submit(ctx context.Context, q *catalog.Queue, account, id string, spec jobs.Spec) schema.CallOutcome {
	record := jobs.Record{Queue: q.Name, Account: account, AcceptedAt: time.Duration(time.Now().UnixNano()), MaxAttempts: q.MaxAttempts, Spec: spec}
	raw, err := record.Encode()
	if err != nil {
		n.log.Error().Str("event", "job_encode_failed").Str("job", id).Err(err).Send()
		return schema.CallOutcomeRefused
	}
	if out, why := n.refuseAtOnce(&record, raw); out != schema.CallOutcomeOk {
		n.log.Warn().Str("event", "submission").Str("request", id).Str("queue", q.Name).Str("pool", q.Pool).Str("account", account).
			Int("bytes", len(raw)).Str("outcome", string(out)).Str("why", why).Send()
		return out
	}
	call := &schema.Call{Kind: schema.CallKindSubmit, Pool: q.Pool, Queue: q.Name, Job: id, Record: raw}
	reply := n.askForCaller(ctx, call)
	n.log.Info().Str("event", "submission").Str("request", id).Str("queue", q.Name).Str("pool", q.Pool).Str("account", account).
		Int64("catalog", n.catalogVersion()).Str("outcome", string(reply.Outcome)).Send()
	return reply.Outcome
}

// refuseAtOnce tells what is wrong with a submission that no owner could take.
func (n *Node) refuseAtOnce(r *jobs.Record, raw []byte) (out schema.CallOutcome, why string) {
	if err := r.CheckSize(raw, cmp.Or(n.settings.Store.RowBytes, platform.DefaultMaxRowBytes)); err != nil {
		return schema.CallOutcomeTooLarge, err.Error()
	}
	if n.nowhereToStart() {
		return schema.CallOutcomeRefused, "all zones are out of use"
	}
	return schema.CallOutcomeOk, ""
}

// State asks for the state of a job.
func (n *Node) State(ctx context.Context, q *catalog.Queue, id string, by shard.Requester) (jobs.State, schema.CallOutcome) {
	reply := n.askForCaller(ctx, callFor(schema.CallKindState, q, id, by))
	if reply.Outcome == schema.CallOutcomeNotFound {
		reply.Outcome = n.confirmAbsent(ctx, q, id, by)
	}
	if reply.Outcome != schema.CallOutcomeOk {
		n.log.Info().Str("event", "state_not_told").Str("request", id).Str("queue", q.Name).Str("outcome", string(reply.Outcome)).Send()
	}
	return jobs.State(reply.State), reply.Outcome
}

// callFor is a question about a job.
func callFor(kind schema.CallKind, q *catalog.Queue, id string, by shard.Requester) *schema.Call {
	return &schema.Call{Kind: kind, Pool: q.Pool, Queue: q.Name, Job: id, Account: by.Account, Operator: by.Operator}
}

// confirmAbsent asks the table itself before a job is said not to exist: the
// owner that was asked may have been replaced without knowing it yet.
func (n *Node) confirmAbsent(ctx context.Context, q *catalog.Queue, id string, by shard.Requester) schema.CallOutcome {
	ctx, ended := n.untilEnd(ctx)
	defer ended()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	found, err := shard.FindJob(ctx, n.rows, q.Pool, id, by)
	switch {
	case err != nil:
		n.log.Warn().Str("event", "absence_not_confirmed").Str("request", id).Err(err).Send()
		return schema.CallOutcomeRefused
	case found:
		return schema.CallOutcomeRefused
	default:
		return schema.CallOutcomeNotFound
	}
}

// Cancel ends a job.
func (n *Node) Cancel(ctx context.Context, q *catalog.Queue, id string, by shard.Requester) schema.CallOutcome {
	reply := n.askForCaller(ctx, callFor(schema.CallKindCancel, q, id, by))
	if reply.Outcome == schema.CallOutcomeNotFound {
		reply.Outcome = n.confirmAbsent(ctx, q, id, by)
	}
	n.log.Info().Str("event", "cancellation").Str("request", id).Str("queue", q.Name).Str("outcome", string(reply.Outcome)).Send()
	return reply.Outcome
}

// Waiting counts the jobs of a queue that have not begun.
func (n *Node) Waiting(ctx context.Context, q *catalog.Queue) (int, schema.CallOutcome) {
	reply := n.askForCaller(ctx, &schema.Call{Kind: schema.CallKindWaiting, Pool: q.Pool, Queue: q.Name})
	return reply.Waiting, reply.Outcome
}

// ask puts a call to the owner of its shard, here or at another entry.
func (n *Node) ask(ctx context.Context, q *schema.Call) *schema.CallReply {
	return n.askWithin(ctx, q, ownerWait)
}

// askForCaller puts a caller's request to the owner of its shard. While the table
// service answers this entry, a shard whose owner cannot take the request gets
// another one soon, which the request waits for. Each request may be repeated: a
// submission at any owner remains one job.
func (n *Node) askForCaller(ctx context.Context, q *schema.Call) *schema.CallReply {
	ctx, cancel := n.untilEnd(ctx)
	defer cancel()
	if !n.ownerMayFollow() {
		return n.askWithin(ctx, q, ownerWait)
	}
	return n.askWithin(ctx, q, callerWait)
}

// untilEnd returns a context that ends also when a node that stops has to answer
// what it was asked: a caller that is told that the outcome is unknown, or that there
// was none, is better off than one whose connection closes.
func (n *Node) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (n *Node) askWithin(ctx context.Context, q *schema.Call, patience time.Duration) *schema.CallReply {
	ctx, cancel := context.WithTimeout(ctx, patience+forwardTimeout)
	defer cancel()
	deadline := time.Now().Add(patience)
	unknown := false // an owner may have taken the request without our having its answer
	for {
		row, local, _ := n.keeper.Owner(q.Pool)
		reply := n.askOwner(ctx, q, row, local)
		if answered(reply) {
			return reply
		}
		unknown = unknown || reply.Outcome == schema.CallOutcomeUnknown
		if n.mayTakeLater(reply, patience) && n.awaitOwner(ctx, q.Pool, row.Term, time.Until(deadline)) {
			continue
		}
		if unknown {
			return &schema.CallReply{Outcome: schema.CallOutcomeUnknown}
		}
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	}
}

// answered tells whether an owner has done what it was asked, or said what there is to say.
func answered(reply *schema.CallReply) bool {
	switch reply.Outcome {
	case schema.CallOutcomeNotOwner, schema.CallOutcomeRefused, schema.CallOutcomeUnknown:
		return false
	default:
		return true
	}
}

// mayTakeLater tells whether it is of use to ask again: the owner is another one
// by now, or is about to be replaced.
func (n *Node) mayTakeLater(reply *schema.CallReply, patience time.Duration) bool {
	if patience <= ownerWait {
		return reply.Outcome == schema.CallOutcomeNotOwner
	}
	return n.ownerMayFollow()
}

// ownerMayFollow tells whether a shard without an owner soon gets one that this entry reaches.
func (n *Node) ownerMayFollow() bool { return n.rows.ok() && !n.cutOff() }

// awaitOwner waits for a shard to get another owner than that of a term, for a
// moment at the most; it reports false when the patience or ctx is over.
func (n *Node) awaitOwner(ctx context.Context, pool string, term int64, patience time.Duration) bool {
	if patience <= 0 {
		return false
	}
	moment, cancel := context.WithTimeout(ctx, min(patience, askAgain))
	defer cancel()
	n.ownerChanges(moment, pool, term)
	return ctx.Err() == nil
}

// ownerChanges returns when a shard has another owner than that of a term, or ctx ends.
func (n *Node) ownerChanges(ctx context.Context, pool string, term int64) {
	for {
		row, _, changed := n.keeper.Owner(pool)
		if row.Term != term {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// askOwner puts a call to one owner; it gives the call up when the shard gets another.
func (n *Node) askOwner(ctx context.Context, q *schema.Call, row shard.OwnerRow, local ownership.Work) *schema.CallReply {
	if o, ok := local.(*shard.Owner); ok {
		return n.answerLocal(ctx, o, q)
	}
	caller := n.members.Caller(row.Entry, row.Address)
	if row.Entry == "" || caller == nil {
		return &schema.CallReply{Outcome: schema.CallOutcomeNotOwner}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	go func() {
		n.ownerChanges(ctx, q.Pool, row.Term)
		cancel()
	}()
	reply, err := caller.Call(ctx, q)
	if err == nil {
		return reply
	}
	n.log.Warn().Str("event", "owner_unreachable").Str("request", q.Job).Str("kind", string(q.Kind)).
		Str("owner", row.Entry).Int64("term", row.Term).Err(err).Send()
	if errors.As(err, new(peer.ErrNotSent)) || q.Kind != schema.CallKindSubmit && q.Kind != schema.CallKindCancel {
		return &schema.CallReply{Outcome: schema.CallOutcomeNotOwner}
	}
	return &schema.CallReply{Outcome: schema.CallOutcomeUnknown}
}
