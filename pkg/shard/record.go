package shard

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

// recordParts is the number of rows that the record of leased workers is spread over. One row for all
// ended at some 1,300 workers, and was written whole with each change. All parts fit into one
// transaction, which a handover needs.
const recordParts = 64

// partsMarker is what the row says that held the whole record in earlier versions. They can't read it
// as a record, and take it that any worker may hold a lease.
const partsMarker = "in parts"

// record is what this owner knows of the rows of the record of leased workers.
type record struct {
	changed [recordParts]bool // to be written
	kept    [recordParts]bool // a row is there
	marked  bool              // the marker is there
	dirty   bool              // any is to be written
}

// partOf is the part of the record that names a worker.
func partOf(worker string) int { return int(xxhash.Sum64String(worker) % recordParts) }

// note has the part that names a worker written.
func (r *record) note(worker string) {
	r.changed[partOf(worker)] = true
	r.dirty = true
}

// noteAll has all parts written that there are, and those that are needed.
func (r *record) noteAll() {
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

// partNumber is the part that a key names; ok is false for another key.
func partNumber(key string) (part int, ok bool) {
	_, err := fmt.Sscanf(key, "part%02d", &part)
	return part, err == nil && part >= 0 && part < recordParts && partKey("", part).Key == key
}

// put adds the parts that have changed, and removes the rows of those that name nobody; it returns
// them. The first time it adds the marker too: an earlier version that takes over has to find it
// wherever it finds less than the whole record.
func (r *record) put(b *batch, pool string, sets *[recordParts][]leasedWorker) (parts []int, err error) {
	for i, set := range sets {
		switch {
		case !r.changed[i]:
			continue
		case len(set) == 0 && r.kept[i]:
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
	if !r.marked {
		raw, err := encode(partsMarker)
		if err != nil {
			return nil, err
		}
		b.put(markerKey(pool), raw)
	}
	return parts, nil
}

// putWorkers adds what has changed in the record of workers that may hold a lease.
func (o *Owner) putWorkers(b *batch) (err error) {
	b.leased = &[recordParts][]leasedWorker{}
	for _, s := range o.sessionsByBoot() {
		part := partOf(s.worker)
		if !o.record.changed[part] || s.ended || s.cordonedUntil > o.now() && s.idle() {
			continue // it is named already, or cannot hold a lease
		}
		b.leased[part] = append(b.leased[part], s.recordEntry())
		if !s.recorded {
			b.workers = append(b.workers, s)
		}
	}
	if b.parts, err = o.record.put(b, o.cfg.Pool, b.leased); err != nil {
		return err
	}
	o.record.begin(b.parts)
	b.record = true
	return o.putUnheard(b)
}

// begin notes that the parts that have changed are in a transaction under way.
func (r *record) begin(parts []int) {
	for _, i := range parts {
		r.changed[i] = false
	}
	r.dirty = false
}

// settle notes what became of the parts in a transaction.
func (r *record) settle(b *batch, happened bool) {
	if !b.record {
		return
	}
	if !happened {
		for _, i := range b.parts {
			r.changed[i] = true
		}
		r.dirty = true
		return
	}
	r.marked = true
	for _, i := range b.parts {
		r.kept[i] = len(b.leased[i]) > 0
	}
}

// takePart reads one row of the record; ok is false if it is none of its rows.
func (k *kept) takePart(r platform.Row) (ok bool, err error) {
	part, ok := partNumber(r.Key)
	switch {
	case ok:
		k.record.kept[part] = true
	case r.Key != singleKey:
		return false, nil
	default:
		var marker string
		if msgpack.Unmarshal(r.Value, &marker) == nil && marker == partsMarker {
			k.record.marked = true
			return true, nil
		}
		// Of an earlier version, which did not touch the parts: what these name besides is out of
		// date, and costs a look.
	}
	var set []leasedWorker
	if err := msgpack.Unmarshal(r.Value, &set); err != nil {
		return true, err
	}
	k.workers = append(k.workers, set...)
	return true, nil
}
