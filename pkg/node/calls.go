package node

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// ownerWait is how long an internal call waits for a shard to get an owner, long enough
	// for a handover.
	ownerWait = 120 * time.Millisecond
	// callerWait is how long a caller's request waits for an owner that accepts it, long
	// enough for the takeover from an owner that has failed, about 1.6 s. A caller that is refused
	// comes back a second later, and its job is late.
	callerWait = 2 * time.Second
	// ownerRetryInterval is the time before an owner that could not accept a request is asked
	// again, unless the shard gets a new owner earlier.
	ownerRetryInterval = 150 * time.Millisecond
	// forwardTimeout bounds a call to an owner; it exceeds what the owner itself may wait.
	forwardTimeout = 1800 * time.Millisecond
)

// Submit passes a job to the owner of its queue's shard.
func (n *Node) Submit(ctx context.Context, q *catalog.Queue, account, id string, spec jobs.Spec) schema.CallOutcome {
	record := jobs.Record{Queue: q.Name, Account: account, AcceptedAt: time.Duration(time.Now().UnixNano()), MaxAttempts: q.MaxAttempts, Spec: spec}
	if record.Route = q.Route(); record.Route != "" {
		record.CatalogVersion, record.ServiceLevel = q.CatalogVersion, &q.ServiceLevel
	}
	raw, err := record.Encode()
	if err != nil {
		n.log.Error().Str("event", "job_encode_failed").Str("job", id).Err(err).Send()
		return schema.CallOutcomeRefused
	}
	if out, why := n.precheckSubmission(&record, raw); out != schema.CallOutcomeOk {
		n.log.Warn().Str("event", "submission").Str("request", id).Str("queue", q.Name).Str("pool", q.Pool).Str("account", account).
			Int("bytes", len(raw)).Str("outcome", string(out)).Str("why", why).Send()
		return out
	}
	call := schema.Call{Kind: schema.CallKindSubmit, Pool: q.Pool, Queue: q.Name, Route: record.Route, CatalogVersion: int(q.CatalogVersion), Job: id, Record: raw}
	reply, pool := n.submitFollowing(ctx, call)
	n.log.Info().Str("event", "submission").Str("request", id).Str("queue", q.Name).Str("pool", pool).Str("account", account).
		Int64("catalog", q.CatalogVersion).Str("outcome", string(reply.Outcome)).Send()
	return reply.Outcome
}

// precheckSubmission returns the outcome of a submission that no owner could accept, and why.
func (n *Node) precheckSubmission(r *jobs.Record, raw []byte) (out schema.CallOutcome, why string) {
	if err := r.CheckSize(raw, cmp.Or(n.settings.Store.RowBytes, platform.DefaultMaxRowBytes)); err != nil {
		return schema.CallOutcomeTooLarge, err.Error()
	}
	if n.allZonesEvacuated() {
		return schema.CallOutcomeRefused, "all zones are out of use"
	}
	return schema.CallOutcomeOk, ""
}

// State returns the state of a job.
func (n *Node) State(ctx context.Context, q *catalog.Queue, id string, by shard.Requester) (jobs.State, schema.CallOutcome) {
	state, out, _ := n.stateAndPool(ctx, q, id, by)
	return state, out
}

// stateAndPool returns the state of a job and the pool that has it.
func (n *Node) stateAndPool(ctx context.Context, q *catalog.Queue, id string, by shard.Requester) (jobs.State, schema.CallOutcome, string) {
	reply, pool := n.findJob(ctx, schema.CallKindState, q, id, by)
	if reply.Outcome != schema.CallOutcomeOk {
		n.log.Info().Str("event", "state_not_told").Str("request", id).Str("queue", q.Name).Str("pool", pool).Str("outcome", string(reply.Outcome)).Send()
	}
	return jobs.State(reply.State), reply.Outcome, pool
}

// confirmAbsent looks a job up in the table service before the caller is told that it does not
// exist: an owner that was asked may have been replaced without knowing it. Refused asks the
// caller to retry.
func (n *Node) confirmAbsent(ctx context.Context, pools []string, id string, by shard.Requester) schema.CallOutcome {
	ctx, ended := n.cancelAtStop(ctx)
	defer ended()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for _, pool := range pools {
		found, err := shard.FindJob(ctx, n.rows, pool, id, by)
		if err != nil {
			n.log.Warn().Str("event", "absence_not_confirmed").Str("request", id).Str("pool", pool).Err(err).Send()
			return schema.CallOutcomeRefused
		}
		if found {
			return schema.CallOutcomeRefused
		}
	}
	return schema.CallOutcomeNotFound
}

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, q *catalog.Queue, id string, by shard.Requester) schema.CallOutcome {
	reply, pool := n.findJob(ctx, schema.CallKindCancel, q, id, by)
	n.log.Info().Str("event", "cancellation").Str("request", id).Str("queue", q.Name).Str("pool", pool).Str("outcome", string(reply.Outcome)).Send()
	return reply.Outcome
}

// Waiting returns the number of queued jobs: those of a queue that have not started.
func (n *Node) Waiting(ctx context.Context, q *catalog.Queue) (int, schema.CallOutcome) {
	return n.countWaiting(ctx, q)
}

// callOwner sends an internal call to the owner of its shard, which may be this entry.
func (n *Node) callOwner(ctx context.Context, q *schema.Call) *schema.CallReply {
	return n.callOwnerWithin(ctx, q, ownerWait)
}

// callOwnerForCaller sends a caller's request to the owner of its shard and, if a new owner can be
// expected, waits for one that accepts it. Requests are idempotent: a job submitted to several
// owners remains one job.
func (n *Node) callOwnerForCaller(ctx context.Context, q *schema.Call) *schema.CallReply {
	ctx, cancel := n.cancelAtStop(ctx)
	defer cancel()
	if !n.newOwnerExpected() {
		return n.callOwnerWithin(ctx, q, ownerWait)
	}
	return n.callOwnerWithin(ctx, q, callerWait)
}

// cancelAtStop returns a context that also ends when a planned stop cancels open requests. The
// caller then gets an answer, such as an unknown outcome, before its connection closes.
func (n *Node) cancelAtStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.waitCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// callOwnerWithin retries a call until it is answered or maxWait is over, and at a new owner also
// later.
func (n *Node) callOwnerWithin(ctx context.Context, q *schema.Call, maxWait time.Duration) *schema.CallReply {
	ctx, cancel := context.WithTimeout(ctx, maxWait+forwardTimeout)
	defer cancel()
	deadline := time.Now().Add(maxWait)
	unknown := false // an owner may have executed the request although its answer was lost
	for {
		row, local, _ := n.ownership.Owner(q.Pool)
		reply := n.sendToOwner(ctx, q, row, local)
		if isFinal(reply) {
			return reply
		}
		unknown = unknown || reply.Outcome == schema.CallOutcomeUnknown
		if n.hasNewOwner(q.Pool, row.Term) && ctx.Err() == nil {
			continue
		}
		if n.shouldRetry(reply, maxWait) && n.waitBeforeRetry(ctx, q.Pool, row.Term, time.Until(deadline)) {
			continue
		}
		if unknown {
			return &schema.CallReply{Outcome: schema.CallOutcomeUnknown}
		}
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	}
}

// isFinal reports whether the owner has answered the request, so that there is nothing to retry.
func isFinal(reply *schema.CallReply) bool {
	switch reply.Outcome {
	case schema.CallOutcomeNotOwner, schema.CallOutcomeRefused, schema.CallOutcomeUnknown:
		return false
	default:
		return true
	}
}

// shouldRetry reports whether the owner has changed, or is expected to.
func (n *Node) shouldRetry(reply *schema.CallReply, maxWait time.Duration) bool {
	if maxWait <= ownerWait {
		return reply.Outcome == schema.CallOutcomeNotOwner
	}
	return n.newOwnerExpected()
}

// hasNewOwner reports whether the shard has an owner of a later term.
func (n *Node) hasNewOwner(pool string, term int64) bool {
	row, _, _ := n.ownership.Owner(pool)
	return row.Entry != "" && row.Term > term
}

// newOwnerExpected reports whether a shard without an owner should soon get one that this entry can
// reach.
func (n *Node) newOwnerExpected() bool { return n.rows.reachable() && !n.isolated() }

// waitBeforeRetry waits ownerRetryInterval, or less if the shard gets another owner than that of a
// term; it reports false, no retry, when maxWait is over or ctx has ended.
func (n *Node) waitBeforeRetry(ctx context.Context, pool string, term int64, maxWait time.Duration) bool {
	if maxWait <= 0 {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(maxWait, ownerRetryInterval))
	defer cancel()
	n.awaitTermChange(waitCtx, pool, term)
	return ctx.Err() == nil
}

// awaitTermChange returns when the shard's term differs from the given one, or ctx ends.
func (n *Node) awaitTermChange(ctx context.Context, pool string, term int64) {
	for {
		row, _, changed := n.ownership.Owner(pool)
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

// sendToOwner sends a call to one owner and cancels it when the shard gets another.
func (n *Node) sendToOwner(ctx context.Context, q *schema.Call, row shard.OwnerRow, local ownership.LocalOwner) *schema.CallReply {
	switch o := local.(type) {
	case *shard.Owner:
		return n.answerLocal(ctx, o, q)
	case *fleetops.Runner:
		return n.answerFleetOps(o, q)
	}
	conn := n.members.Caller(row.Entry, row.Address)
	if row.Entry == "" || conn == nil {
		return &schema.CallReply{Outcome: schema.CallOutcomeNotOwner}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	go func() {
		n.awaitTermChange(ctx, q.Pool, row.Term)
		cancel()
	}()
	reply, err := conn.Call(ctx, q)
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
