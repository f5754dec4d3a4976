package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// workersPace is the least time between two calls for the directory of
// workers, whose rows change with every heartbeat; a worker that is leaving
// may get tasks for seconds.
const workersPace = 400 * time.Millisecond

// followWorkers follows the directory of workers while this entry owns a shard.
// Its rows change with every heartbeat: followed by all entries, its bytes would
// grow with the number of workers times that of entries.
func (n *Node) followWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		owns, changed := n.keeper.Owns()
		if !owns {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		f := n.workerFeed()
		f.wanted = func() bool { owns, _ := n.keeper.Owns(); return owns }
		err := n.follow(ctx, f)
		if err != nil {
			return err
		}
	}
	return nil
}

// workerFeed is the directory of workers as this node follows it. Owners go through all
// workers when they are passed on: once for an answer, not for each of its rows. Among 3,000
// workers, which write 2,000 rows a second, that is 6 million of them a second.
func (n *Node) workerFeed() feed {
	return feed{
		table: n.source.WorkerTable, pace: workersPace,
		list: n.loadWorkers,
		apply: func(r platform.Row) {
			n.mu.Lock()
			n.decodeWorker(n.workers, r)
			n.mu.Unlock()
		},
		applied: n.passWorkers,
	}
}

// loadWorkers reads the whole directory of workers.
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
	n.passWorkers()
	return version, nil
}

// decodeWorker takes a row of the directory into all. A row that names no worker costs that
// worker alone, until a row of it can be read again; it is said once for each version.
func (n *Node) decodeWorker(all map[string]platform.Worker, r platform.Row) {
	if r.Removed {
		delete(all, r.Key)
		delete(n.badWorkers, r.Key)
		return
	}
	w, err := n.source.DecodeWorker(r.Key, r.Value)
	if err != nil {
		delete(all, r.Key)
		n.noteBadWorker(r, err)
		return
	}
	delete(n.badWorkers, r.Key)
	all[r.Key] = w
}

// noteBadWorker says that a row of the directory names no worker.
func (n *Node) noteBadWorker(r platform.Row, err error) {
	if n.badWorkers[r.Key] == r.Version {
		return
	}
	n.badWorkers[r.Key] = r.Version
	n.metrics.RowMalformed(n.source.WorkerTable)
	n.log.Error().Str("event", "worker_row_malformed").Str("boot", r.Key).Int64("version", r.Version).Err(err).Send()
}

func (n *Node) passWorkers() { n.keeper.SetWorkers(n.allWorkers()) }

// allWorkers returns the directory's current boots of all pools.
func (n *Node) allWorkers() []platform.Worker {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.workers))
}
