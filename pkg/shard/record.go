package shard

import (
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/gannetwell/gannetwell/pkg/packed"
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
	changed      [recordParts]bool            // to be written
	stored       [recordParts]bool            // a row exists
	boots        [recordParts]map[string]bool // boots that the row names, whether or not the write under way is carried out
	markerStored bool                         // the row with partsMarker exists
	dirty        bool                         // any part is to be written
}

// partOf returns the part of the record that a worker belongs to.
func partOf(worker string) int { return int(xxhash.Sum64String(worker) % recordParts) }

// names reports whether the stored record names a boot of a worker, so that the next owner contacts it.
func (r *workerRecord) names(worker, boot string) bool { return r.boots[partOf(worker)][boot] }

// add records that a stored row names a boot.
func (r *workerRecord) add(w leasedWorker) {
	worker, _ := platform.ParseBootID(w.Boot)
	part := partOf(worker)
	if r.boots[part] == nil {
		r.boots[part] = map[string]bool{}
	}
	r.boots[part][w.Boot] = true
}

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
		if !o.record.changed[part] || s.ended {
			continue // already recorded, or can't hold a lease
		}
		if s.cordonedUntil > o.now() && s.idle() && !s.mayHaveMisread(o.now()) {
			if s.recorded() {
				o.log.Info().Str("event", "worker_not_recorded").Str("boot", s.ref.Boot).Str("vm", s.vm).Dur("cordon_left", s.cordonedUntil-o.now()).Send()
			}
			continue
		}
		b.leased[part] = append(b.leased[part], s.recordEntry(o.now()))
		if !s.recorded() {
			b.workers = append(b.workers, s)
		}
	}
	if b.parts, err = o.record.put(b, o.cfg.Pool, b.leased); err != nil {
		return err
	}
	o.record.startWrite(b)
	b.record = true
	return o.putUnreportedLoss(b)
}

// startWrite records that the changed parts are in a transaction under way. A boot that is not in their new
// content no longer counts as named, since the outcome may remain unknown.
func (r *workerRecord) startWrite(b *batch) {
	for _, i := range b.parts {
		r.changed[i] = false
		kept := bootsOf(b.leased[i])
		maps.DeleteFunc(r.boots[i], func(boot string, _ bool) bool { return !kept[boot] })
	}
	r.dirty = false
}

// bootsOf returns the boots that the content of a part names.
func bootsOf(set []leasedWorker) map[string]bool {
	boots := make(map[string]bool, len(set))
	for _, w := range set {
		boots[w.Boot] = true
	}
	return boots
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
		r.stored[i], r.boots[i] = len(b.leased[i]) > 0, bootsOf(b.leased[i])
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
		if packed.Unmarshal(r.Value, &marker) == nil && marker == partsMarker {
			stored.record.markerStored = true
			return true, nil
		}
		// Written by an earlier version, which leaves the parts as they are. The workers in them are
		// outdated, which costs one poll each.
	}
	var set []leasedWorker
	if err := packed.Unmarshal(r.Value, &set); err != nil {
		return true, err
	}
	stored.workers = append(stored.workers, set...)
	for _, w := range set {
		stored.record.add(w)
	}
	return true, nil
}
