package node

import (
	"context"
	"time"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/maintenance"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/shard"
)

// emptyTimeout bounds one call that asks a shard's owner to empty a VM.
const emptyTimeout = 600 * time.Millisecond

func (n *Node) identity() shard.Identity {
	return shard.Identity{Entry: n.self.Name, Start: n.self.Start, Address: n.self.Address}
}

// openShard begins the work of a shard that falls to this entry.
func (n *Node) openShard(ctx context.Context, pool string, seen int64, cat *catalog.Catalog, workers []platform.Worker, over func(error)) (ownership.Work, error) {
	if pool == maintenance.Partition {
		r, err := maintenance.Open(ctx, maintenance.Config{
			Self: n.identity(), Rows: n.rows, Machines: n.platform, Empty: n.emptyVM, Report: n.source.EncodeWave,
			Log: n.log, Since: n.since, Pause: time.Duration(n.settings.Timing.LeaseMs) * time.Millisecond, OnOver: over,
			Takes: time.Duration(n.settings.Timing.MaintenanceS * float64(time.Second)),
		}, seen, cat, n.allWaves())
		if err != nil {
			return nil, err // no typed nil in the interface
		}
		return r, nil
	}
	o, err := shard.Open(ctx, shard.Config{
		Pool: pool, Self: n.identity(), Rows: n.rows, Workers: n.platform, Metrics: n.metrics, Log: n.log, Since: n.since,
		Retention: time.Duration(n.settings.Timing.RetentionS * float64(time.Second)), OnOver: over,
	}, seen, cat, workers)
	if err != nil {
		return nil, err
	}
	return o, nil
}

// setWave takes a request for maintenance.
func (n *Node) setWave(w maintenance.Wave) {
	n.mu.Lock()
	n.waves[w.ID] = w
	n.mu.Unlock()
	if _, work, _ := n.keeper.Owner(maintenance.Partition); work != nil {
		if r, ok := work.(*maintenance.Runner); ok {
			r.SetWaves(n.allWaves())
		}
	}
}

func (n *Node) allWaves() (waves []maintenance.Wave) {
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
