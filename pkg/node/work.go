package node

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/quota"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// ownerCallTimeout bounds a call that asks an owner for its load or to drain a VM.
const ownerCallTimeout = 600 * time.Millisecond

// errOperatorRowsUnread reports that the evacuated zones are not known yet, so no owner may start.
var errOperatorRowsUnread = errors.New("what the operator has written was not read yet")

func (n *Node) identity() shard.Identity {
	return shard.Identity{Entry: n.self.Name, Start: n.self.Start, Address: n.self.Address}
}

// openShard takes over a shard and starts its owner; it is an [ownership.Opener].
func (n *Node) openShard(ctx context.Context, pool string, seen shard.ObservedOwner, cat *catalog.Catalog, events ownership.Events) (ownership.LocalOwner, error) {
	if !n.evacuations.isLoaded() {
		return nil, errOperatorRowsUnread
	}
	if pool == fleetops.Partition {
		return n.openFleetOps(ctx, seen, cat, events)
	}
	// An entry that owns a shard follows the directory already; a list could be older
	// than what its feed has read.
	if owns, _ := n.ownership.Owns(); !owns {
		if _, err := n.loadWorkers(ctx); err != nil {
			return nil, errors.Wrap(err, "read worker directory")
		}
	}
	o, err := shard.Open(ctx, n.shardConfig(pool, events), seen, cat, n.allWorkers())
	if err != nil {
		return nil, err // no typed nil in the interface
	}
	return o, nil
}

// shardConfig returns the settings and dependencies of the owner of a pool's shard.
func (n *Node) shardConfig(pool string, events ownership.Events) shard.Config {
	timing := n.settings.Timing
	return shard.Config{
		Pool: pool, Allocator: fleetops.Partition, Self: n.identity(), Clock: n.clock, Retention: seconds(timing.RetentionS),
		MaxLease: time.Duration(timing.MaxLeaseMs) * time.Millisecond, StopTime: time.Duration(timing.StopMs) * time.Millisecond,
		MaxRowBytes: n.settings.Store.RowBytes,
		Rows:        n.rows, Workers: n.platform, Machines: n.platform, Adviser: n.platform,
		Metrics: n.metrics, Log: n.log, StoreUptime: n.rows.uptime, HasEnded: n.members.HasEnded, StandDown: n.standDown,
		ZoneEvacuated: n.evacuations.contains, CloseQueue: n.closeQueue, FindJob: n.findJobInFormer, ReserveMemory: n.reserveJobMemory,
		BeforeTakeover: events.BeforeTakeover, OnGivenUp: events.OnGivenUp,
	}
}

// standDown tells a shard's predecessor, the owner before the present one, that it was replaced. It
// reports whether that owner has stopped its work.
func (n *Node) standDown(ctx context.Context, predecessor shard.OwnerRow, newer platform.Row) (closed bool) {
	conn := n.members.Caller(predecessor.Entry, predecessor.Address)
	if conn == nil {
		return false
	}
	reply, err := conn.Call(ctx, &schema.Call{Kind: schema.CallKindStandDown, Pool: newer.Partition, OwnerRow: newer.Value, OwnersVersion: int(newer.Version)})
	if err != nil {
		n.log.Debug().Str("event", "predecessor_not_reached").Str("pool", newer.Partition).Str("entry", predecessor.Entry).Err(err).Send()
		return false
	}
	return reply.Outcome == schema.CallOutcomeOk
}

// openFleetOps takes over the fleet operations, which move and maintain VMs.
func (n *Node) openFleetOps(ctx context.Context, seen shard.ObservedOwner, cat *catalog.Catalog, events ownership.Events) (ownership.LocalOwner, error) {
	// OrderGap: the VM service demands the gap; fencing alone rejects only orders of former holders
	// that arrive after one of this holder.
	r, err := fleetops.Open(ctx, fleetops.Config{
		Self: n.identity(), Log: n.log, Clock: n.clock,
		Rows: n.rows, Machines: n.platform, Drain: n.drainVM, Load: n.loadOf, Report: n.source.EncodeWave, Waves: n.allWaves, OnWaves: n.metrics.Waves, OnLearned: n.metrics.WaveVMsLearned, ZoneEvacuated: n.evacuations.contains,
		OrderGap: time.Duration(n.settings.Timing.LeaseMs) * time.Millisecond, MaintenanceTime: seconds(n.settings.Timing.MaintenanceS),
		OnShares: n.metrics.VMShares, BeforeTakeover: events.BeforeTakeover, OnGivenUp: events.OnGivenUp,
	}, seen, cat)
	if err != nil {
		return nil, err // no typed nil in the interface
	}
	return r, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// applyWave applies an operator row if it requests a maintenance wave. A request that cannot be read asks for
// nothing, as one that was removed.
func (n *Node) applyWave(r platform.Row) {
	if r.Removed {
		n.dropWave(r.Key)
		return
	}
	w, ok, err := n.source.DecodeWave(r.Key, r.Value)
	if err != nil {
		n.metrics.RowMalformed(n.source.CatalogTable)
		n.log.Error().Str("event", "wave_malformed").Str("key", r.Key).Int64("version", r.Version).Err(err).Send()
		n.dropWave(r.Key)
		return
	}
	if !ok {
		return
	}
	w.Request = platform.Row{RowKey: r.RowKey, Version: r.Version}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waves[r.Key] = w
}

// dropWave forgets the maintenance wave that a row requested, if any.
func (n *Node) dropWave(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.waves, key)
}

// keepWaves forgets the waves whose rows are not listed: the feed may have lost their removal.
func (n *Node) keepWaves(listed map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.waves, func(key string, _ fleetops.Wave) bool { return !listed[key] })
}

// allWaves returns the requested waves, as their rows are known to this entry.
func (n *Node) allWaves() (waves []fleetops.Wave) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.waves {
		waves = append(waves, w)
	}
	return waves
}

// drainVM asks the owner of a pool's shard to drain a VM; it reports whether the VM is drained. VMs
// of a lower rank go first.
func (n *Node) drainVM(ctx context.Context, pool, vm string, rank int) (drained bool) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	reply := n.callOwner(ctx, &schema.Call{Kind: schema.CallKindEmpty, Pool: pool, VM: vm, Rank: rank})
	return reply.Outcome == schema.CallOutcomeOk
}

// applyGrant passes the shares of account limits in a load request to the owner; full reports
// whether the reply is to list all accounts.
func (n *Node) applyGrant(o *shard.Owner, raw []byte) (full bool) {
	if len(raw) == 0 {
		return false
	}
	g, err := decodePart[quota.Grant](raw)
	if err != nil {
		n.log.Error().Str("event", "grant_malformed").Err(err).Send()
		return false
	}
	o.ApplyGrant(g)
	return g.Full
}

// loadOf sends a query to the owner of a pool's shard; it is a [fleetops.Loader].
func (n *Node) loadOf(ctx context.Context, q fleetops.LoadQuery) (reply fleetops.LoadReply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	call, err := encodeLoadQuery(q)
	if err != nil {
		n.log.Error().Str("event", "load_query_encode_failed").Str("pool", q.Pool).Err(err).Send()
		return reply, false
	}
	answer := n.callOwner(ctx, call)
	if answer.Outcome != schema.CallOutcomeOk {
		return reply, false
	}
	if reply.Load, err = decodePart[shard.Load](answer.Load); err != nil {
		n.log.Error().Str("event", "load_malformed").Str("pool", q.Pool).Err(err).Send()
		return reply, false
	}
	reply.Progress = n.decodeProgress(answer.WaveProgress)
	return reply, true
}

func encodeLoadQuery(q fleetops.LoadQuery) (call *schema.Call, err error) {
	call = &schema.Call{Kind: schema.CallKindLoad, Pool: q.Pool, WaveVMs: q.WaveVMs, AskWaveProgress: q.AskProgress}
	if q.Grant != nil {
		if call.Grant, err = msgpack.Marshal(q.Grant); err != nil {
			return nil, errors.Wrap(err, "encode grant")
		}
	}
	if len(q.Progress) > 0 {
		if call.WaveProgress, err = msgpack.Marshal(q.Progress); err != nil {
			return nil, errors.Wrap(err, "encode progress of waves")
		}
	}
	return call, nil
}
