package table

import (
	"encoding/json"

	"github.com/gannetwell/gannetwell/pkg/config"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// ParseDocument validates a table file and returns its rows, sorted by [Kinds] and name.
// Invalid files yield a config.ErrInvalid.
func ParseDocument(file string, src []byte) (rows []StoredRow, err error) {
	var doc schema.Document
	if err := config.Decode(file, src, config.TargetDocument, &doc); err != nil {
		return nil, err
	}
	s := Empty()
	fillRows(&s.Zones, doc.Zones)
	fillRows(&s.Racks, doc.Racks)
	fillRows(&s.VMs, doc.VMs)
	fillRows(&s.Services, doc.Services)
	fillRows(&s.Pools, doc.Pools)
	fillRows(&s.Routes, doc.Routes)
	fillRows(&s.Teams, doc.Teams)
	fillRows(&s.Jobs, doc.Jobs)
	fillRows(&s.Weights, doc.Weights)
	fillRows(&s.Waves, doc.Waves)
	return s.Stored(), nil
}

func fillRows[T any](rows *Rows[T], values map[string]T) {
	*rows = make(Rows[T], len(values))
	for name, v := range values {
		(*rows)[name] = Row[T]{Value: v}
	}
}

// FormatDocument formats rows as a table file.
func FormatDocument(rows []StoredRow) (src []byte, err error) {
	doc := map[string]map[string]json.RawMessage{}
	for _, r := range rows {
		plural := kinds[r.Key.Kind].plural
		if doc[plural] == nil {
			doc[plural] = map[string]json.RawMessage{}
		}
		doc[plural][r.Key.Name] = r.Value
	}
	return json.MarshalIndent(doc, "", "  ")
}
