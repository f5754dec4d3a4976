package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

const (
	// maxQueueMoves bounds how often one submission follows its queue to another pool.
	maxQueueMoves = 3
	// queuePoolsTTL is how long the stored pools of a queue that its shard does not know count as current when its
	// waiting jobs are counted.
	queuePoolsTTL = 2 * time.Second
	// maxCachedQueues bounds the queues of which the pools are cached.
	maxCachedQueues = 1000
)

// queuePools caches which pools beside the configured one have or had a queue. It only grows, and its users do not
// rely on its being complete.
type queuePools struct {
	mu      sync.Mutex
	byRoute map[string]cachedPools
}

type cachedPools struct {
	pools  []string
	readAt time.Duration // when they were last read from the table service, 0 for never
}

// get returns the cached pools of a queue.
func (c *queuePools) get(route string) cachedPools {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byRoute[route]
}

// add adds pools of a queue; readAt is when they were read from the table service, 0 if they were not.
func (c *queuePools) add(route string, pools []string, readAt time.Duration) {
	if len(pools) == 0 && readAt == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byRoute) >= maxCachedQueues {
		clear(c.byRoute)
	}
	e := c.byRoute[route]
	e.pools, e.readAt = appendNew(slices.Clone(e.pools), pools), max(e.readAt, readAt)
	c.byRoute[route] = e
}

// appendNew appends the names that a list lacks.
func appendNew(list, names []string) []string {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// readQueuePools reads which pools have or had a queue from the table service.
func (n *Node) readQueuePools(ctx context.Context, route string) (pools []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	readAt := n.clock.Now()
	ps, err := shard.ReadQueuePools(ctx, n.rows, route)
	if err != nil {
		return nil, err
	}
	n.queuePools.add(route, ps.Names(), readAt)
	return ps.Names(), nil
}

// callPool makes a call to the owner of a pool's shard, which the configuration known here need not name.
func (n *Node) callPool(ctx context.Context, pool string, call schema.Call) *schema.CallReply {
	n.ownership.Track(pool)
	call.Pool = pool
	reply := n.callOwnerForCaller(ctx, &call)
	n.queuePools.add(call.Route, reply.QueuePools, 0)
	return reply
}

// submitFollowing makes a submission to the pool that has the job's queue. An entry with an earlier configuration, or an
// owner that does, learns from the shards where that is. It returns the pool that answered last.
func (n *Node) submitFollowing(ctx context.Context, call schema.Call) (reply *schema.CallReply, pool string) {
	pool = call.Pool
	for range maxQueueMoves {
		reply = n.callPool(ctx, pool, call)
		if reply.Outcome != schema.CallOutcomeMoved || len(reply.QueuePools) == 0 {
			return reply, pool
		}
		n.log.Info().Str("event", "submission_moved").Str("request", call.Job).Str("pool", pool).Str("to", reply.QueuePools[0]).
			Int("catalog", call.CatalogVersion).Int("queue_catalog", reply.QueueVersion).Send()
		pool, call.CatalogVersion = reply.QueuePools[0], max(call.CatalogVersion, reply.QueueVersion)
	}
	return &schema.CallReply{Outcome: schema.CallOutcomeRefused}, pool
}

// findJob makes a call about a job at the pools that have or had its queue, the configured one first, until one has the
// job. Only after none of the stored pools has it is the outcome not_found. It returns the pool that answered last.
func (n *Node) findJob(ctx context.Context, kind schema.CallKind, q *catalog.Queue, id string, by shard.Requester) (reply *schema.CallReply, pool string) {
	call := schema.Call{Kind: kind, Queue: q.Name, Route: q.Route(), Job: id, Account: by.Account, Operator: by.Operator}
	s := jobSearch{call: call, pools: appendNew([]string{q.Pool}, n.queuePools.get(call.Route).pools)}
	if reply = n.callPools(ctx, &s); reply != nil {
		return reply, s.lastCalled()
	}
	if call.Route != "" {
		stored, err := n.readQueuePools(ctx, call.Route)
		if err != nil {
			n.log.Warn().Str("event", "absence_not_confirmed").Str("request", id).Err(err).Send()
			return &schema.CallReply{Outcome: schema.CallOutcomeRefused}, s.lastCalled()
		}
		s.pools = appendNew(s.pools, stored)
		if reply = n.callPools(ctx, &s); reply != nil {
			return reply, s.lastCalled()
		}
	}
	return &schema.CallReply{Outcome: n.confirmAbsent(ctx, s.pools, id, by)}, s.lastCalled()
}

// jobSearch is a search for the pool that has a job.
type jobSearch struct {
	call   schema.Call
	pools  []string // that may have the job, in the order of the calls
	called int      // number of pools that were called
}

// lastCalled returns the pool that was called last.
func (s *jobSearch) lastCalled() string { return s.pools[s.called-1] }

// callPools makes the call at the pools that were not called yet, and at those that their replies name, until one has
// the job. If none has, it returns the last reply that leaves that open, nil if none does.
func (n *Node) callPools(ctx context.Context, s *jobSearch) *schema.CallReply {
	var unanswered *schema.CallReply
	for s.called < len(s.pools) {
		reply := n.callPool(ctx, s.pools[s.called], s.call)
		s.called++
		switch reply.Outcome {
		case schema.CallOutcomeNotFound:
			s.pools = appendNew(s.pools, reply.QueuePools)
		case schema.CallOutcomeRefused, schema.CallOutcomeUnknown:
			unanswered = reply
		default:
			return reply
		}
	}
	return unanswered
}

// countWaiting returns the number of queued jobs in all pools that have or had a queue.
func (n *Node) countWaiting(ctx context.Context, q *catalog.Queue) (waiting int, out schema.CallOutcome) {
	call := schema.Call{Kind: schema.CallKindWaiting, Queue: q.Name, Route: q.Route()}
	pools := []string{q.Pool}
	for i := 0; i < len(pools); i++ {
		reply := n.callPool(ctx, pools[i], call)
		if reply.Outcome != schema.CallOutcomeOk {
			return 0, reply.Outcome
		}
		waiting += reply.Waiting
		pools = appendNew(pools, reply.QueuePools)
	}
	return waiting, schema.CallOutcomeOk
}

// answerWaiting counts a queue's waiting jobs in a shard that this entry owns, and names the queue's other pools. Where
// the shard does not know the queue, the entry of its owner reads them, since all entries may ask at about the same time.
func (n *Node) answerWaiting(ctx context.Context, o *shard.Owner, q *schema.Call) *schema.CallReply {
	waiting, out := o.Waiting(q.Queue, q.Route)
	reply := withQueue(&schema.CallReply{Outcome: out, Waiting: waiting}, o, q.Route)
	if out != schema.CallOutcomeOk || reply.QueueVersion > 0 || q.Route == "" {
		return reply
	}
	var err error
	if reply.QueuePools, err = n.recentQueuePools(ctx, q.Route); err != nil {
		n.log.Warn().Str("event", "waiting_not_counted").Str("queue", q.Queue).Err(err).Send()
		reply.Outcome = schema.CallOutcomeRefused
	}
	return reply
}

// recentQueuePools returns the stored pools of a queue as of queuePoolsTTL ago or later.
func (n *Node) recentQueuePools(ctx context.Context, route string) (pools []string, err error) {
	if c := n.queuePools.get(route); c.readAt > 0 && n.clock.Now()-c.readAt < queuePoolsTTL {
		return c.pools, nil
	}
	return n.readQueuePools(ctx, route)
}

// closeQueue has the owner of a pool's shard accept no more jobs of a queue; see [shard.Config].
func (n *Node) closeQueue(ctx context.Context, pool, route string, version int64, to string) error {
	n.ownership.Track(pool)
	reply := n.callOwner(ctx, &schema.Call{Kind: schema.CallKindCloseQueue, Pool: pool, Route: route, CatalogVersion: int(version), MoveTo: to})
	if reply.Outcome != schema.CallOutcomeOk {
		return errors.Errorf("pool %s still accepts jobs of the queue %s: %s", pool, route, reply.Outcome)
	}
	return nil
}

// findJobInFormer looks for a job in pools that accept no more jobs of its queue; see [shard.Config]. An owner that
// knows that the queue has left knows all jobs of it; otherwise the stored rows decide.
func (n *Node) findJobInFormer(ctx context.Context, former shard.QueuePools, route, id string, by shard.Requester) schema.CallOutcome {
	for _, p := range former {
		n.ownership.Track(p.Pool)
		reply := n.callOwner(ctx, &schema.Call{Kind: schema.CallKindState, Pool: p.Pool, Route: route, Job: id, Account: by.Account, Operator: by.Operator})
		if reply.Outcome == schema.CallOutcomeNotFound && reply.QueueLeft && int64(reply.QueueVersion) > p.Version {
			continue
		}
		if reply.Outcome == schema.CallOutcomeOk {
			return reply.Outcome
		}
		if out := n.confirmAbsent(ctx, []string{p.Pool}, id, by); out != schema.CallOutcomeNotFound {
			return out
		}
	}
	return schema.CallOutcomeNotFound
}

// withQueue adds to a reply what the shard knows of the call's queue.
func withQueue(reply *schema.CallReply, o *shard.Owner, route string) *schema.CallReply {
	if route == "" {
		return reply
	}
	info := o.Queue(route)
	reply.QueueLeft, reply.QueueVersion, reply.QueuePools = info.Left, int(info.Version), info.Others
	return reply
}
