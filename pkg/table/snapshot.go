package table

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Key identifies a row.
type Key struct {
	Kind schema.Kind `json:"kind"`
	Name string      `json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Row is a typed row with the revision that last changed it.
type Row[T any] struct {
	Version int
	Value   T
}

// Rows are the rows of one kind by name.
type Rows[T any] map[string]Row[T]

// Names returns the row names in sorted order.
func (r Rows[T]) Names() []string { return slices.Sorted(maps.Keys(r)) }

// Snapshot is the immutable table at one revision.
type Snapshot struct {
	Revision int
	Zones    Rows[schema.Zone]
	Racks    Rows[schema.Rack]
	VMs      Rows[schema.VM]
	Services Rows[schema.Service]
	Pools    Rows[schema.Pool]
	Routes   Rows[schema.Route]
	Teams    Rows[schema.Team]
	Jobs     Rows[schema.Job]
	Weights  Rows[schema.Weights]
	Waves    Rows[schema.Wave]
}

// FleetWeights is the name of the only weights row that is used.
const FleetWeights = "fleet"

// Empty returns the table at revision 0.
func Empty() *Snapshot { return &Snapshot{} }

// ZoneOf returns the zone of a VM, empty if its rack is unknown.
func (s *Snapshot) ZoneOf(vm string) string {
	return s.Racks[s.VMs[vm].Value.Rack].Value.Zone
}

// Version returns the version of a row, 0 if it does not exist.
func (s *Snapshot) Version(k Key) int {
	op, ok := kinds[k.Kind]
	if !ok {
		return 0
	}
	return op.version(s, k.Name)
}

// Value returns a row as JSON, nil if it does not exist.
func (s *Snapshot) Value(k Key) json.RawMessage {
	op, ok := kinds[k.Kind]
	if !ok {
		return nil
	}
	return op.value(s, k.Name)
}

// Keys returns the keys of all rows of a kind in sorted order; an empty kind means all rows.
func (s *Snapshot) Keys(kind schema.Kind) (keys []Key) {
	for _, k := range kindOrder {
		if kind != "" && kind != k {
			continue
		}
		for _, name := range kinds[k].names(s) {
			keys = append(keys, Key{Kind: k, Name: name})
		}
	}
	return keys
}

// Apply returns the snapshot after a log entry, or [ErrGap] if the entry is not the next one.
func (s *Snapshot) Apply(e *schema.Entry) (next *Snapshot, err error) {
	defer func() {
		err = errors.Wrapf(err, "apply revision %d", e.Revision)
	}()
	if e.Revision != s.Revision+1 {
		return nil, ErrGap{Have: s.Revision, Got: e.Revision}
	}
	w := newWriter(s, e.Revision)
	for i := range e.Changes {
		c := &e.Changes[i]
		if err := w.set(Key{Kind: c.Kind, Name: c.Name}, c.After); err != nil {
			return nil, err
		}
	}
	return w.next, nil
}

// Load returns a snapshot of stored rows, which keep their versions.
func Load(revision int, rows []StoredRow) (s *Snapshot, err error) {
	w := newWriter(Empty(), 0)
	for _, r := range rows {
		w.next.Revision = r.Version
		if err := w.set(r.Key, r.Value); err != nil {
			return nil, err
		}
	}
	w.next.Revision = revision
	return w.next, nil
}

// StoredRow is a row as kept in the table service.
type StoredRow struct {
	Key     Key             `json:"key"`
	Version int             `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Stored returns all rows as kept in the table service.
func (s *Snapshot) Stored() []StoredRow {
	keys := s.Keys("")
	rows := make([]StoredRow, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, StoredRow{Key: k, Version: s.Version(k), Value: s.Value(k)})
	}
	return rows
}

// writer builds a snapshot, copying the rows of a kind before the first change to them.
type writer struct {
	next   *Snapshot
	copied map[schema.Kind]bool
}

func newWriter(s *Snapshot, revision int) *writer {
	next := *s
	next.Revision = revision
	return &writer{next: &next, copied: map[schema.Kind]bool{}}
}

func (w *writer) set(k Key, value json.RawMessage) error {
	op, ok := kinds[k.Kind]
	if !ok {
		return ErrUnknownKind{Kind: k.Kind}
	}
	if !w.copied[k.Kind] {
		op.clone(w.next)
		w.copied[k.Kind] = true
	}
	if Absent(value) {
		op.remove(w.next, k.Name)
		return nil
	}
	return errors.Wrapf(op.put(w.next, k.Name, value), "row %s", k)
}

// Absent reports whether a value stands for a missing row.
func Absent(v json.RawMessage) bool { return len(v) == 0 || string(v) == "null" }

// MustValue encodes a row of a generated type.
func MustValue[T any](v T) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// MustParse decodes a value encoded by MustValue.
func MustParse[T any](raw json.RawMessage) (v T) {
	if err := json.Unmarshal(raw, &v); err != nil {
		panic(err)
	}
	return v
}
