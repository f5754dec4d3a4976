package shard

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// recordParts is the number of rows over which the record of leased workers is spread, so that it
// does not exceed the size of a row. All parts fit into one transaction, which a handover needs.
const recordParts = 64

// partsMarker is the value of the row that held the whole record in earlier versions. These can't
// decode it, and then assume that any worker may hold a lease.
const partsMarker = "in parts"

// workerRecord tracks which rows of the record of leased workers are stored or have to be written.
type workerRecord struct {
	changed      [recordParts]bool // to be written
	stored       [recordParts]bool // a row exists
	markerStored bool              // the row with partsMarker exists
	dirty        bool              // any part is to be written
}

// partOf returns the part of the record that a worker belongs to.
func partOf(worker string) int { return int(xxhash.Sum64String(worker) % recordParts) }

// markChanged has the part of a worker written with the next transaction.
func (r *workerRecord) markChanged(worker string) {
	r.changed[partOf(worker)] = true
	r.dirty = true
}

// markAllChanged has all parts written with the next transaction.
func (r *workerRecord) markAllChanged() {
	for i := range r.changed {
		r.changed[i] = true
	}
	r.dirty = true
}

func partKey(pool string, part int) platform.RowKey {
	return platform.RowKey{Table: tableWorkers, Partition: pool, Key: fmt.Sprintf("part%02d", part)}
}

func markerKey(pool string) platform.RowKey {
	return platform.RowKey{Table: tableWorkers, Partition: pool, Key: singleKey}
}

// partNumber returns the part that a row key belongs to; ok is false for any other key.
func partNumber(key string) (part int, ok bool) {
	_, err := fmt.Sscanf(key, "part%02d", &part)
	return part, err == nil && part >= 0 && part < recordParts && partKey("", part).Key == key
}

// put adds the changed parts to a batch, removes rows of parts that became empty, and returns the
// numbers of these parts. The marker is written with the first parts, so that an earlier version
// that takes over never mistakes them for the whole record.
func (r *workerRecord) put(b *batch, pool string, sets *[recordParts][]leasedWorker) (parts []int, err error) {
	for i, set := range sets {
		switch {
		case !r.changed[i]:
			continue
		case len(set) == 0 && r.stored[i]:
			b.txn.Remove = append(b.txn.Remove, partKey(pool, i))
		case len(set) > 0:
			raw, err := encode(set)
			if err != nil {
				return nil, err
			}
			b.put(partKey(pool, i), raw)
		}
		parts = append(parts, i)
	}
	if !r.markerStored {
		raw, err := encode(partsMarker)
		if err != nil {
			return nil, err
		}
		b.put(markerKey(pool), raw)
	}
	return parts, nil
}

// putWorkers adds the changed parts of the record of leased workers to a batch.
func (o *Owner) putWorkers(b *batch) (err error) {
	b.leased = &[recordParts][]leasedWorker{}
	for _, s := range o.sessionsByBoot() {
		part := partOf(s.worker)
		if !o.record.changed[part] || s.ended || s.cordonedUntil > o.now() && s.idle() {
			continue // already recorded, or can't hold a lease
		}
		b.leased[part] = append(b.leased[part], s.recordEntry())
		if !s.recorded {
			b.workers = append(b.workers, s)
		}
	}
	if b.parts, err = o.record.put(b, o.cfg.Pool, b.leased); err != nil {
		return err
	}
	o.record.clearChanged(b.parts)
	b.record = true
	return o.putUnreportedLoss(b)
}

// clearChanged records that the changed parts are in a transaction under way.
func (r *workerRecord) clearChanged(parts []int) {
	for _, i := range parts {
		r.changed[i] = false
	}
	r.dirty = false
}

// applyOutcome records whether the transaction that wrote the parts was carried out.
func (r *workerRecord) applyOutcome(b *batch, committed bool) {
	if !b.record {
		return
	}
	if !committed {
		for _, i := range b.parts {
			r.changed[i] = true
		}
		r.dirty = true
		return
	}
	r.markerStored = true
	for _, i := range b.parts {
		r.stored[i] = len(b.leased[i]) > 0
	}
}

// readPart decodes one row of the record; ok is false for a row that does not belong to it.
func (stored *storedState) readPart(r platform.Row) (ok bool, err error) {
	part, ok := partNumber(r.Key)
	switch {
	case ok:
		stored.record.stored[part] = true
	case r.Key != singleKey:
		return false, nil
	default:
		var marker string
		if msgpack.Unmarshal(r.Value, &marker) == nil && marker == partsMarker {
			stored.record.markerStored = true
			return true, nil
		}
		// Written by an earlier version, which leaves the parts as they are. The workers in them are
		// outdated, which costs one poll each.
	}
	var set []leasedWorker
	if err := msgpack.Unmarshal(r.Value, &set); err != nil {
		return true, err
	}
	stored.workers = append(stored.workers, set...)
	return true, nil
}
