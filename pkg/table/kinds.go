package table

import (
	"encoding/json"
	"maps"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// kindOps gives untyped access to the rows of one kind in a snapshot.
type kindOps struct {
	definition string // name of the row's schema definition
	plural     string // field of a document that holds the rows
	version    func(s *Snapshot, name string) int
	value      func(s *Snapshot, name string) json.RawMessage
	names      func(s *Snapshot) []string
	clone      func(s *Snapshot)
	remove     func(s *Snapshot, name string)
	put        func(s *Snapshot, name string, v json.RawMessage) error
}

// newKindOps returns the operations of a kind; field returns its rows in a snapshot.
func newKindOps[T any](definition, plural string, field func(*Snapshot) *Rows[T]) kindOps {
	return kindOps{
		definition: definition,
		plural:     plural,
		version:    func(s *Snapshot, name string) int { return (*field(s))[name].Version },
		value: func(s *Snapshot, name string) json.RawMessage {
			row, ok := (*field(s))[name]
			if !ok {
				return nil
			}
			raw, err := json.Marshal(row.Value)
			if err != nil {
				panic(err) // generated row types always encode
			}
			return raw
		},
		names: func(s *Snapshot) []string { return field(s).Names() },
		clone: func(s *Snapshot) {
			rows := maps.Clone(*field(s))
			if rows == nil {
				rows = Rows[T]{}
			}
			*field(s) = rows
		},
		remove: func(s *Snapshot, name string) { delete(*field(s), name) },
		put: func(s *Snapshot, name string, v json.RawMessage) error {
			row := Row[T]{Version: s.Revision}
			if err := json.Unmarshal(v, &row.Value); err != nil {
				return err
			}
			(*field(s))[name] = row
			return nil
		},
	}
}

// kindOrder is the order of kinds in listings. Each kind refers only to earlier ones.
var kindOrder = []schema.Kind{
	schema.KindZone, schema.KindRack, schema.KindService, schema.KindPool, schema.KindVM,
	schema.KindRoute, schema.KindTeam, schema.KindJob, schema.KindWeights, schema.KindWave,
}

var kinds = map[schema.Kind]kindOps{
	schema.KindZone:    newKindOps("Zone", "zones", func(s *Snapshot) *Rows[schema.Zone] { return &s.Zones }),
	schema.KindRack:    newKindOps("Rack", "racks", func(s *Snapshot) *Rows[schema.Rack] { return &s.Racks }),
	schema.KindVM:      newKindOps("VM", "vms", func(s *Snapshot) *Rows[schema.VM] { return &s.VMs }),
	schema.KindService: newKindOps("Service", "services", func(s *Snapshot) *Rows[schema.Service] { return &s.Services }),
	schema.KindPool:    newKindOps("Pool", "pools", func(s *Snapshot) *Rows[schema.Pool] { return &s.Pools }),
	schema.KindRoute:   newKindOps("Route", "routes", func(s *Snapshot) *Rows[schema.Route] { return &s.Routes }),
	schema.KindTeam:    newKindOps("Team", "teams", func(s *Snapshot) *Rows[schema.Team] { return &s.Teams }),
	schema.KindJob:     newKindOps("Job", "jobs", func(s *Snapshot) *Rows[schema.Job] { return &s.Jobs }),
	schema.KindWeights: newKindOps("Weights", "weights", func(s *Snapshot) *Rows[schema.Weights] { return &s.Weights }),
	schema.KindWave:    newKindOps("Wave", "waves", func(s *Snapshot) *Rows[schema.Wave] { return &s.Waves }),
}

// Kinds returns all kinds, each after the kinds it refers to.
func Kinds() []schema.Kind { return append([]schema.Kind(nil), kindOrder...) }

// KnownKind reports whether k is a kind of row.
func KnownKind(k schema.Kind) bool {
	_, ok := kinds[k]
	return ok
}
