package node

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/jobs"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// answerPeer answers a call of another entry.
func (n *Node) answerPeer(ctx context.Context, q *schema.Call) *schema.CallReply {
	switch q.Kind {
	case schema.CallKindPing:
		version, inDoubt := n.ownership.OwnersVersion()
		return &schema.CallReply{
			Outcome: schema.CallOutcomeOk, CatalogVersion: int(n.catalogVersion()),
			ReachesStore: n.rows.reachable(), Start: int(n.self.Start),
			OwnersVersion: int(version), Claiming: inDoubt, Stopping: n.stopping.Load(), Released: n.ownership.Released(), Owners: n.ownership.RowsSince(int64(q.OwnersVersion)),
		}
	case schema.CallKindStandDown:
		row := platform.Row{Value: q.OwnerRow, Version: int64(q.OwnersVersion)} // here the version of this row only
		if n.ownership.StandDown(ctx, q.Pool, row) {
			return &schema.CallReply{Outcome: schema.CallOutcomeOk}
		}
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	case schema.CallKindCatalog:
		if c := n.catalog.Load(); c != nil {
			return &schema.CallReply{Outcome: schema.CallOutcomeOk, CatalogVersion: int(c.Version), Catalog: c.raw}
		}
		return &schema.CallReply{Outcome: schema.CallOutcomeNotFound}
	}
	_, local, _ := n.ownership.Owner(q.Pool)
	switch o := local.(type) {
	case *shard.Owner:
		return n.answerLocal(ctx, o, q)
	case *fleetops.Runner:
		return n.answerFleetOps(o, q)
	default:
		return &schema.CallReply{Outcome: schema.CallOutcomeNotOwner}
	}
}

// answerFleetOps answers a call to the holder of the fleet operations, which this entry is.
func (n *Node) answerFleetOps(r *fleetops.Runner, q *schema.Call) *schema.CallReply {
	if q.Kind != schema.CallKindWaves {
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	}
	raw, err := msgpack.Marshal(r.WaveStatus())
	if err != nil {
		n.log.Error().Str("event", "waves_encode_failed").Err(err).Send()
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	}
	return &schema.CallReply{Outcome: schema.CallOutcomeOk, Waves: raw}
}

// requesterOf returns the client account or operator on whose behalf a call is made.
func requesterOf(q *schema.Call) shard.Requester {
	return shard.Requester{Account: q.Account, Operator: q.Operator}
}

// answerLocal answers a call with a shard that this entry owns.
func (n *Node) answerLocal(ctx context.Context, o *shard.Owner, q *schema.Call) *schema.CallReply {
	switch q.Kind {
	case schema.CallKindSubmit:
		record, err := jobs.DecodeRunnable(q.Record)
		if err != nil {
			n.log.Error().Str("event", "submission_malformed").Str("request", q.Job).Err(err).Send()
			return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
		}
		record.CatalogVersion = max(record.CatalogVersion, int64(q.CatalogVersion))
		return withQueue(&schema.CallReply{Outcome: o.Submit(ctx, q.Job, record)}, o, q.Route)
	case schema.CallKindState:
		state, out := o.State(q.Job, requesterOf(q))
		return withQueue(&schema.CallReply{Outcome: out, State: string(state)}, o, q.Route)
	case schema.CallKindCancel:
		return withQueue(&schema.CallReply{Outcome: o.Cancel(ctx, q.Job, requesterOf(q))}, o, q.Route)
	case schema.CallKindWaiting:
		return n.answerWaiting(ctx, o, q)
	case schema.CallKindCloseQueue:
		return &schema.CallReply{Outcome: o.CloseQueue(ctx, q.Route, int64(q.CatalogVersion), q.MoveTo)}
	case schema.CallKindLoad:
		return n.answerLoad(o, q)
	case schema.CallKindEmpty:
		if o.DrainVM(q.VM, q.Rank) {
			return &schema.CallReply{Outcome: schema.CallOutcomeOk}
		}
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	default:
		return &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	}
}

// answerLoad answers a query for the load of a shard that this entry owns.
func (n *Node) answerLoad(o *shard.Owner, q *schema.Call) *schema.CallReply {
	full := n.applyGrant(o, q.Grant)
	if len(q.WaveVMs) > 0 {
		o.SetWaveVMs(q.WaveVMs)
	}
	n.waveProgress.Add(n.decodeProgress(q.WaveProgress))
	reply := &schema.CallReply{Outcome: schema.CallOutcomeRefused}
	l, ok := o.Load(full)
	if !ok {
		return reply
	}
	var err error
	if reply.Load, err = msgpack.Marshal(l); err != nil {
		n.log.Error().Str("event", "load_encode_failed").Str("pool", q.Pool).Err(err).Send()
		return reply
	}
	if kept := n.waveProgress.All(); q.AskWaveProgress && len(kept) > 0 {
		if reply.WaveProgress, err = msgpack.Marshal(kept); err != nil {
			n.log.Error().Str("event", "wave_progress_encode_failed").Err(err).Send()
		}
	}
	reply.Outcome = schema.CallOutcomeOk
	return reply
}

// decodeProgress decodes the progress of waves from a message; what is malformed is left out.
func (n *Node) decodeProgress(raw []byte) (ps []fleetops.WaveProgress) {
	if len(raw) == 0 {
		return nil
	}
	ps, err := decodePart[[]fleetops.WaveProgress](raw)
	if err != nil {
		n.log.Error().Str("event", "wave_progress_malformed").Err(err).Send()
		return nil
	}
	return ps
}
