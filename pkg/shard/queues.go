package shard

import (
	"context"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/packed"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// tableQueue holds the pools of each queue. The partition is named by queuePartition.
	tableQueue = "queue"
	// queueKeyPrefix starts the keys of the queues of a shard, in its table of workers so that a takeover reads
	// both with one call.
	queueKeyPrefix = "queue~"
	// maxClaimTries bounds how often a queue is claimed anew because another shard has claimed it meanwhile.
	maxClaimTries = 3
)

// QueuePools lists the pools whose shards may have accepted jobs of a queue, in the order in which it came to
// them. Only the last one accepts new jobs.
type QueuePools []QueuePool

// QueuePool is a pool that has or had a queue.
type QueuePool struct {
	Pool    string `msgpack:"p"`
	Version int64  `msgpack:"v"` // of the configuration that sent the queue there
}

// last returns the pool that has the queue, the zero value if none ever had it.
func (ps QueuePools) last() (p QueuePool) {
	if len(ps) > 0 {
		p = ps[len(ps)-1]
	}
	return p
}

// Names returns the names of the pools.
func (ps QueuePools) Names() (names []string) {
	for _, p := range ps {
		names = append(names, p.Pool)
	}
	return names
}

// with returns the pools after the queue has come to a pool, which is named once only.
func (ps QueuePools) with(p QueuePool) QueuePools {
	others := slices.DeleteFunc(slices.Clone(ps), func(o QueuePool) bool { return o.Pool == p.Pool })
	return append(others, p)
}

// queueRow is what the rows of a shard say about a queue: that it accepts the queue's new jobs, or which pool does
// instead. Each change is a transaction of the shard, so no owner that has not seen it can accept anything.
type queueRow struct {
	Route   string     `msgpack:"r"`           // of the queue, see catalog.Queue
	Version int64      `msgpack:"v"`           // of the configuration by which the queue came or left
	Former  QueuePools `msgpack:"f,omitempty"` // pools that had the queue before
	MovedTo string     `msgpack:"m,omitempty"` // pool that has it since, empty while this one does
}

// queueState is the owner's state of a queue.
type queueState struct {
	queueRow
	unstored bool           // the row was not written yet, or that is not known
	waiters  []chan Outcome // calls that wait until it is
}

// queues is the state of the queues that the shard has or had, by route; guarded by the owner's lock.
type queues struct {
	known      map[string]*queueState
	claiming   map[string]chan struct{} // closed when the claim under way is over
	unreadable map[string]bool          // keys of malformed rows; their queues are not known until they are claimed
}

func newQueues(stored []queueRow, unreadable map[string]bool) queues {
	q := queues{known: map[string]*queueState{}, claiming: map[string]chan struct{}{}, unreadable: unreadable}
	for _, r := range stored {
		q.known[r.Route] = &queueState{queueRow: r}
	}
	return q
}

// accepts reports whether the shard accepts new jobs of a queue.
func (q *queues) accepts(route string) bool {
	s := q.known[route]
	return s != nil && s.MovedTo == ""
}

// queuePartition returns the partition of a queue in tableQueue, short enough for any route.
func queuePartition(route string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(route)) }

func queuePoolsKey(route string) platform.RowKey {
	return platform.RowKey{Table: tableQueue, Partition: queuePartition(route), Key: singleKey}
}

func queueRowKey(pool, route string) platform.RowKey {
	return platform.RowKey{Table: tableWorkers, Partition: pool, Key: queueKeyOf(route)}
}

func queueKeyOf(route string) string { return queueKeyPrefix + queuePartition(route) }

// ReadQueuePools returns the pools whose shards may have accepted jobs of a queue.
func ReadQueuePools(ctx context.Context, rows platform.Rows, route string) (ps QueuePools, err error) {
	ps, _, err = readQueuePools(ctx, rows, route)
	return ps, err
}

func readQueuePools(ctx context.Context, rows platform.Rows, route string) (ps QueuePools, version int64, err error) {
	defer func() { err = errors.Wrapf(err, "read pools of queue %s", route) }()
	row, err := ReadRow(ctx, rows, queuePoolsKey(route))
	if err != nil || row.Version == 0 {
		return nil, 0, err
	}
	return ps, row.Version, packed.Unmarshal(row.Value, &ps)
}

// writeQueuePools writes the pools of a queue, provided that their row still has a version.
func writeQueuePools(ctx context.Context, rows platform.Rows, route string, ps QueuePools, version int64) error {
	raw, err := encode(ps)
	if err != nil {
		return err
	}
	key := queuePoolsKey(route)
	_, err = rows.CommitRows(ctx, platform.RowTxn{
		Expect: []platform.Row{{RowKey: key, Version: version}}, Put: []platform.Row{{RowKey: key, Value: raw}},
	})
	return err
}

// admit makes sure that the shard may accept a new job: it has the job's queue, and none of the queue's former
// shards has the job. Otherwise out is the answer to the submission.
func (o *Owner) admit(ctx context.Context, id string, r *jobs.Record) (out Outcome, admitted bool) {
	if r.Route == "" {
		return "", true
	}
	ctx, cancel := context.WithTimeout(ctx, callWaitTimeout)
	defer cancel()
	for range maxClaimTries {
		o.mu.Lock()
		if o.closed || o.releasing || o.registry.Job(id) != nil || o.pending[id] != nil || o.unreadableJobs[id] {
			o.mu.Unlock()
			return "", true // answered without the queue
		}
		s := o.queues.known[r.Route]
		switch {
		case s != nil && s.MovedTo == "":
			former := s.Former
			o.mu.Unlock()
			return o.findInFormer(ctx, id, r, former)
		case s != nil && r.CatalogVersion <= s.Version:
			o.mu.Unlock()
			return schema.CallOutcomeMoved, false
		case o.commitsFailing:
			o.mu.Unlock()
			return schema.CallOutcomeRefused, false
		}
		if err := o.awaitClaim(ctx, r); err != nil {
			return schema.CallOutcomeRefused, false
		}
	}
	return schema.CallOutcomeRefused, false
}

// findInFormer looks for a new job in the former shards of its queue, which accept no more jobs of it.
func (o *Owner) findInFormer(ctx context.Context, id string, r *jobs.Record, former QueuePools) (out Outcome, admitted bool) {
	if len(former) == 0 {
		return "", true
	}
	out = o.cfg.FindJob(ctx, former, r.Route, id, Requester{Operator: true})
	o.log.Info().Str("event", "job_sought_in_former_pools").Str("request", id).Strs("pools", former.Names()).Str("outcome", string(out)).Send()
	switch out {
	case schema.CallOutcomeNotFound:
		return "", true
	case schema.CallOutcomeOk:
		if r.Account != "" && o.cfg.FindJob(ctx, former, r.Route, id, Requester{Account: r.Account}) != schema.CallOutcomeOk {
			return schema.CallOutcomeRefused, false // of another account
		}
		return schema.CallOutcomeOk, false
	default:
		return schema.CallOutcomeRefused, false
	}
}

// awaitClaim claims the queue of a job, or waits for the claim under way. The lock is held and is released.
func (o *Owner) awaitClaim(ctx context.Context, r *jobs.Record) error {
	if done := o.queues.claiming[r.Route]; done != nil {
		o.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return ctx.Err()
	}
	done := make(chan struct{})
	o.queues.claiming[r.Route] = done
	o.mu.Unlock()
	ps, err := o.claimQueue(ctx, r.Route, r.CatalogVersion)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.queues.claiming, r.Route)
	close(done)
	if err != nil {
		o.log.Warn().Str("event", "queue_not_claimed").Str("queue", r.Queue).Str("route", r.Route).Int64("catalog", r.CatalogVersion).Err(err).Send()
		return err
	}
	o.noteClaim(r.Route, ps)
	return nil
}

// noteClaim applies the stored pools of a queue; the lock is held.
func (o *Owner) noteClaim(route string, ps QueuePools) {
	last := ps.last()
	if s := o.queues.known[route]; s != nil && s.Version >= last.Version {
		return // the queue has left meanwhile
	}
	s := &queueState{queueRow: queueRow{Route: route, Version: last.Version}, unstored: true}
	if last.Pool == o.cfg.Pool {
		s.Former = ps[:len(ps)-1]
	} else {
		s.MovedTo = last.Pool
	}
	o.queues.known[route] = s
	o.cfg.Metrics.QueueMoved(s.MovedTo == "")
	o.log.Info().Str("event", "queue_claimed").Str("route", route).Int64("catalog", last.Version).Strs("former", s.Former.Names()).Str("moved_to", s.MovedTo).Send()
	o.requestCommit()
}

// claimQueue makes this the pool that has a queue, if the configuration of a version that sends it here is newer than
// that by which it came to its present pool. It returns the pools of the queue. If the shard could not read its row of
// the queue, the queue may have left it for a pool that has not written that yet, so it writes the pools once more:
// that pool then has to ask again.
func (o *Owner) claimQueue(ctx context.Context, route string, version int64) (ps QueuePools, err error) {
	defer func() { err = errors.Wrapf(err, "claim queue %s", route) }()
	for range maxClaimTries {
		var rowVersion int64
		if ps, rowVersion, err = readQueuePools(ctx, o.cfg.Rows, route); err != nil {
			return nil, err
		}
		last, elsewhere := ps.last(), len(ps) > 0 && ps.last().Pool != o.cfg.Pool
		stays := len(ps) > 0 && (version <= last.Version || !elsewhere && !o.leftSince(route, last.Version))
		if stays && (elsewhere || !o.queueUnreadable(route)) {
			return ps, nil
		}
		if stays {
			version = last.Version
		}
		if elsewhere {
			if err = o.cfg.CloseQueue(ctx, last.Pool, route, version, o.cfg.Pool); err != nil {
				return nil, err
			}
		}
		ps = ps.with(QueuePool{Pool: o.cfg.Pool, Version: version})
		if err = writeQueuePools(ctx, o.cfg.Rows, route, ps, rowVersion); !errors.As(err, new(platform.ErrConflict)) {
			return ps, err
		}
	}
	return nil, err
}

// leftSince reports whether the queue has left this shard by a configuration of a version or a newer one.
func (o *Owner) leftSince(route string, version int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.queues.known[route]
	return s != nil && s.MovedTo != "" && s.Version >= version
}

// queueUnreadable reports whether the shard does not know a queue because its row is malformed.
func (o *Owner) queueUnreadable(route string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queues.known[route] == nil && o.queues.unreadable[queueKeyOf(route)]
}

// CloseQueue has the shard accept no more new jobs of a queue, which a configuration of a version sends to another
// pool. It returns ok once that is stored.
func (o *Owner) CloseQueue(ctx context.Context, route string, version int64, to string) Outcome {
	o.mu.Lock()
	if o.closed || o.releasing {
		o.mu.Unlock()
		return schema.CallOutcomeNotOwner
	}
	s := o.queues.known[route]
	switch {
	case s != nil && s.MovedTo == "" && s.Version >= version:
		o.mu.Unlock()
		return schema.CallOutcomeRefused // it came here by a newer configuration
	case s == nil || s.Version < version:
		if s == nil {
			s = &queueState{queueRow: queueRow{Route: route}}
			o.queues.known[route] = s
		}
		s.Version, s.MovedTo, s.unstored = version, to, true
		o.cfg.Metrics.QueueMoved(false)
		o.log.Info().Str("event", "queue_left").Str("route", route).Int64("catalog", version).Str("moved_to", to).Send()
	case !s.unstored:
		o.mu.Unlock()
		return schema.CallOutcomeOk
	}
	done := make(chan Outcome, 1)
	s.waiters = append(s.waiters, done)
	o.expediteCommit()
	o.mu.Unlock()
	if out, ok := receive(ctx, done); ok {
		return out
	}
	return schema.CallOutcomeUnknown
}

// QueueInfo is what a shard knows of a queue.
type QueueInfo struct {
	Left    bool     // the shard accepts no new jobs of the queue any more
	Version int64    // of the configuration by which the queue came or left, 0 if the shard does not know it
	Others  []string // other pools that have or had it, the present one first
}

// Queue returns what the shard knows of a queue.
func (o *Owner) Queue(route string) (info QueueInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.queues.known[route]
	if s == nil {
		return info
	}
	info = QueueInfo{Version: s.Version, Others: s.Former.Names()}
	if s.MovedTo != "" {
		info.Left = true
		info.Others = slices.Insert(info.Others, 0, s.MovedTo)
	}
	return info
}

// serviceLevelOf returns the service level of a job: that of its queue while that is configured for this pool, else
// that at which the job was accepted, nil if this is not stored.
func (o *Owner) serviceLevelOf(j *jobs.Job) *catalog.ServiceLevel {
	q := o.catalog.QueueAt(j.Route)
	if j.Route == "" {
		q = o.catalog.Queue(j.Queue)
	}
	if q != nil && (q.Pool == o.cfg.Pool || j.ServiceLevel == nil) {
		return &q.ServiceLevel
	}
	return j.ServiceLevel
}

// putQueues adds the changed rows of queues to a batch, which takes submissions first. As long as one of these is left
// for a later batch none of the rows fits, so that a queue leaves only after all submissions that were taken.
func (o *Owner) putQueues(b *batch) error {
	for _, s := range sortedByKey(o.queues.known) {
		if !s.unstored {
			continue
		}
		raw, err := encode(s.queueRow)
		if err != nil {
			return err
		}
		if !b.fits([][]byte{raw}) {
			return nil
		}
		b.queues = append(b.queues, s.queueRow)
		b.put(queueRowKey(o.cfg.Pool, s.Route), raw)
	}
	return nil
}

// queuesStored records that the rows of queues in a batch are stored.
func (o *Owner) queuesStored(b *batch) {
	for _, r := range b.queues {
		s := o.queues.known[r.Route]
		if s.Version != r.Version || s.MovedTo != r.MovedTo {
			continue // it has changed since
		}
		s.unstored = false
		for _, done := range s.waiters {
			done <- schema.CallOutcomeOk
		}
		s.waiters = nil
	}
}

// readQueue decodes the row of a queue.
func (stored *storedState) readQueue(r platform.Row) error {
	var q queueRow
	if err := packed.Unmarshal(r.Value, &q); err != nil {
		return err
	}
	if queueKeyOf(q.Route) != r.Key {
		return errors.Errorf("the row names another queue, %q", q.Route)
	}
	stored.queues = append(stored.queues, q)
	return nil
}
