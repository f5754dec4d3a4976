package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/allowance"
	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// emptyTimeout bounds one call that asks a shard's owner to empty a VM.
const emptyTimeout = 600 * time.Millisecond

// errOperatorUnread refuses work that would not know which zones are out of use.
var errOperatorUnread = errors.New("what the operator has written was not read yet")

func (n *Node) identity() shard.Identity {
	return shard.Identity{Entry: n.self.Name, Start: n.self.Start, Address: n.self.Address}
}

// openShard begins the work of a shard that falls to this entry.
func (n *Node) openShard(ctx context.Context, pool string, seen shard.Seen, cat *catalog.Catalog, events ownership.Events) (ownership.Work, error) {
	if !n.evacuations.read() {
		return nil, errOperatorUnread
	}
	if pool == fleetops.Partition {
		return n.openFleet(ctx, seen, cat, events)
	}
	// An entry that owns a shard follows the directory already; a list could be
	// older than what the feed has brought since.
	if owns, _ := n.keeper.Owns(); !owns {
		if _, err := n.loadWorkers(ctx); err != nil {
			return nil, errors.Wrap(err, "read directory of workers")
		}
	}
	o, err := shard.Open(ctx, shard.Config{
		Pool: pool, Self: n.identity(), Clock: n.clock, Retention: seconds(n.settings.Timing.RetentionS), MaxLease: time.Duration(n.settings.Timing.MaxLeaseMs) * time.Millisecond,
		MaxRowBytes: n.settings.Store.RowBytes,
		Rows:        n.rows, Workers: n.platform, Machines: n.platform, Adviser: n.platform,
		Metrics: n.metrics, Log: n.log, StoreUptime: n.rows.okFor, HasEnded: n.members.HasEnded, StandDown: n.standDown, ZoneOut: n.evacuations.has, BeforeTakeover: events.Sending, OnGivenUp: events.Over,
	}, seen, cat, n.allWorkers())
	if err != nil {
		return nil, err // no typed nil in the interface
	}
	return o, nil
}

// standDown tells the process of a shard's former owner that it was replaced, and whether it does no
// more work for the shard.
func (n *Node) standDown(ctx context.Context, former shard.OwnerRow, newer platform.Row) (stands bool) {
	caller := n.members.Caller(former.Entry, former.Address)
	if caller == nil {
		return false
	}
	reply, err := caller.Call(ctx, &schema.Call{Kind: schema.CallKindStandDown, Pool: newer.Partition, OwnerRow: newer.Value, OwnersVersion: int(newer.Version)})
	if err != nil {
		n.log.Debug().Str("event", "predecessor_not_reached").Str("pool", newer.Partition).Str("entry", former.Entry).Err(err).Send()
		return false
	}
	return reply.Outcome == schema.CallOutcomeOk
}

// openFleet begins the work of moving and maintaining VMs.
func (n *Node) openFleet(ctx context.Context, seen shard.Seen, cat *catalog.Catalog, events ownership.Events) (ownership.Work, error) {
	r, err := fleetops.Open(ctx, fleetops.Config{
		Self: n.identity(), Log: n.log, Clock: n.clock,
		Rows: n.rows, Machines: n.platform, Empty: n.emptyVM, Load: n.loadOf, Report: n.source.EncodeWave, Waves: n.allWaves, ZoneOut: n.evacuations.has,
		Pause: time.Duration(n.settings.Timing.LeaseMs) * time.Millisecond, Takes: seconds(n.settings.Timing.MaintenanceS),
		Sending: events.Sending, OnOver: events.Over,
	}, seen, cat)
	if err != nil {
		return nil, err // no typed nil in the interface
	}
	return r, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// setWave takes a request for maintenance.
func (n *Node) setWave(w fleetops.Wave) {
	n.mu.Lock()
	n.waves[w.ID] = w
	n.mu.Unlock()
}

func (n *Node) allWaves() (waves []fleetops.Wave) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.waves {
		waves = append(waves, w)
	}
	return waves
}

// emptyVM asks the owner of a pool's shard to empty a VM.
func (n *Node) emptyVM(ctx context.Context, pool, vm string) (empty bool) {
	ctx, cancel := context.WithTimeout(ctx, emptyTimeout)
	defer cancel()
	reply := n.ask(ctx, &schema.Call{Kind: schema.CallKindEmpty, Pool: pool, VM: vm})
	return reply.Outcome == schema.CallOutcomeOk
}

// passGrant gives the owner of a shard the shares that came with a question about load;
// it reports whether all its accounts are to be reported.
func (n *Node) passGrant(o *shard.Owner, raw []byte) (full bool) {
	if len(raw) == 0 {
		return false
	}
	var g allowance.Grant
	if err := msgpack.Unmarshal(raw, &g); err != nil {
		n.log.Error().Str("event", "grant_malformed").Err(err).Send()
		return false
	}
	o.TakeGrant(g)
	return g.Full
}

// loadOf asks the owner of a pool's shard how busy it is, and gives it shares of
// accounts' limits if there are any to give.
func (n *Node) loadOf(ctx context.Context, pool string, g *allowance.Grant) (l shard.Load, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, emptyTimeout)
	defer cancel()
	q := &schema.Call{Kind: schema.CallKindLoad, Pool: pool}
	if g != nil {
		raw, err := msgpack.Marshal(g)
		if err != nil {
			n.log.Error().Str("event", "grant_encode_failed").Str("pool", pool).Err(err).Send()
			return l, false
		}
		q.Grant = raw
	}
	reply := n.ask(ctx, q)
	if reply.Outcome != schema.CallOutcomeOk {
		return l, false
	}
	if err := msgpack.Unmarshal(reply.Load, &l); err != nil {
		n.log.Error().Str("event", "load_malformed").Str("pool", pool).Err(err).Send()
		return l, false
	}
	return l, true
}
