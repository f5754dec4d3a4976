package node

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// workerPollInterval is the minimum time between two reads of the worker directory, whose rows
// change with every heartbeat. Workers announce a shutdown seconds ahead.
const workerPollInterval = 400 * time.Millisecond

// coldEndTolerance is by how much rows of a cold worker may differ in when it will be warm.
const coldEndTolerance = 200 * time.Millisecond

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
			defer n.mu.Unlock()
			n.workersChanged = n.decodeWorker(n.workers, r) || n.workersChanged
		},
		onBatch: n.publishChangedWorkers,
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

// decodeWorker applies a directory row to all; changed is false if the row tells owners nothing new. A
// malformed row removes its worker until a valid row follows, and is logged once per version.
func (n *Node) decodeWorker(all map[string]platform.Worker, r platform.Row) (changed bool) {
	if r.Removed {
		delete(all, r.Key)
		delete(n.malformedWorkers, r.Key)
		return true
	}
	w, err := n.source.DecodeWorker(r.Key, r.Value)
	if err != nil {
		delete(all, r.Key)
		n.recordMalformedWorker(r, err)
		return true
	}
	delete(n.malformedWorkers, r.Key)
	if old, ok := all[r.Key]; ok && onlyTimePassed(old, w) {
		return false
	}
	all[r.Key] = w
	return true
}

// onlyTimePassed reports whether a later row of a cold worker differs only in the time that has passed.
func onlyTimePassed(old, w platform.Worker) bool {
	if min(old.ColdLeft, w.ColdLeft) == 0 || old.ClockMs == platform.ClockUnknown || w.ClockMs == platform.ClockUnknown {
		return false
	}
	end := func(w platform.Worker) time.Duration { return time.Duration(w.ClockMs)*time.Millisecond + w.ColdLeft }
	if (end(w) - end(old)).Abs() > coldEndTolerance {
		return false
	}
	w.ColdLeft, w.ClockMs = old.ColdLeft, old.ClockMs
	return reflect.DeepEqual(old, w)
}

func (n *Node) recordMalformedWorker(r platform.Row, err error) {
	if n.malformedWorkers[r.Key] == r.Version {
		return
	}
	n.malformedWorkers[r.Key] = r.Version
	n.metrics.RowMalformed(n.source.WorkerTable)
	n.log.Error().Str("event", "worker_row_malformed").Str("boot", r.Key).Int64("version", r.Version).Err(err).Send()
}

func (n *Node) publishWorkers() {
	workers := n.allWorkers()
	cold := 0
	for i := range workers {
		if workers[i].ColdLeft > 0 {
			cold++
		}
	}
	n.metrics.coldWorkers.Set(float64(cold))
	n.ownership.SetWorkers(workers)
}

// publishChangedWorkers publishes the workers if a row since the last call has changed one.
func (n *Node) publishChangedWorkers() {
	n.mu.Lock()
	changed := n.workersChanged
	n.workersChanged = false
	n.mu.Unlock()
	if changed {
		n.publishWorkers()
	}
}

// allWorkers returns the current boots of all pools.
func (n *Node) allWorkers() []platform.Worker {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.workers))
}
