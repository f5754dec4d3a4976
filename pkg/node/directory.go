package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// workerPollInterval is the minimum time between two reads of the worker directory, whose rows
// change with every heartbeat. Workers announce a shutdown seconds ahead.
const workerPollInterval = 400 * time.Millisecond

// followWorkers follows the worker directory while this entry owns a shard; only owners need it,
// and its traffic grows with the number of workers.
func (n *Node) followWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		owns, changed := n.ownership.Owns()
		if !owns {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		f := n.workerFeed()
		f.active = func() bool { owns, _ := n.ownership.Owns(); return owns }
		err := n.follow(ctx, f)
		if err != nil {
			return err
		}
	}
	return nil
}

// workerFeed returns the feed of the worker directory. Owners process all workers on each update,
// so they are updated once per batch of rows.
func (n *Node) workerFeed() feed {
	return feed{
		table: n.source.WorkerTable, minInterval: workerPollInterval,
		list: n.loadWorkers,
		apply: func(r platform.Row) {
			n.mu.Lock()
			n.decodeWorker(n.workers, r)
			n.mu.Unlock()
		},
		onBatch: n.publishWorkers,
	}
}

// loadWorkers reads the whole worker directory.
func (n *Node) loadWorkers(ctx context.Context) (version int64, err error) {
	all := map[string]platform.Worker{}
	version, err = n.listAll(ctx, n.source.WorkerTable, func(r platform.Row) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.decodeWorker(all, r)
	})
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	n.workers = all
	n.mu.Unlock()
	n.publishWorkers()
	return version, nil
}

// decodeWorker applies a directory row to all. A malformed row removes its worker until a valid row
// follows, and is logged once per version.
func (n *Node) decodeWorker(all map[string]platform.Worker, r platform.Row) {
	if r.Removed {
		delete(all, r.Key)
		delete(n.malformedWorkers, r.Key)
		return
	}
	w, err := n.source.DecodeWorker(r.Key, r.Value)
	if err != nil {
		delete(all, r.Key)
		n.recordMalformedWorker(r, err)
		return
	}
	delete(n.malformedWorkers, r.Key)
	all[r.Key] = w
}

func (n *Node) recordMalformedWorker(r platform.Row, err error) {
	if n.malformedWorkers[r.Key] == r.Version {
		return
	}
	n.malformedWorkers[r.Key] = r.Version
	n.metrics.RowMalformed(n.source.WorkerTable)
	n.log.Error().Str("event", "worker_row_malformed").Str("boot", r.Key).Int64("version", r.Version).Err(err).Send()
}

func (n *Node) publishWorkers() { n.ownership.SetWorkers(n.allWorkers()) }

// allWorkers returns the current boots of all pools.
func (n *Node) allWorkers() []platform.Worker {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.workers))
}
