package table_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// TestEditBesideOddRow guards against a row of another writer that has every edit of other rows refused.
func TestEditBesideOddRow(t *testing.T) {
	row := func(kind schema.Kind, name, value string) table.StoredRow {
		return table.StoredRow{Key: table.Key{Kind: kind, Name: name}, Version: 1, Value: json.RawMessage(value)}
	}
	snap, err := table.Load(1, []table.StoredRow{
		row(schema.KindZone, "z", `{}`), row(schema.KindRack, "r", `{"zone":"z"}`), row(schema.KindService, "s", `{"max_in_flight":8}`),
		row(schema.KindRack, "odd", `{"zone":"none"}`), row(schema.KindVM, "odd", `{"rack":"r","address":"a:1","pool":"none","phase":"active"}`),
		row(schema.KindPool, "p", `{"service":"s","size":2,"max_unavailable":1}`), row(schema.KindVM, "v", `{"rack":"r","address":"b:1","pool":"p","phase":"active"}`),
		row(schema.KindPool, "odd", `{"service":"s","size":-5,"max_unavailable":9}`),
	})
	qt.Assert(t, err, qt.IsNil)
	for name, tc := range map[string]struct {
		kind           schema.Kind
		row            string
		value          string
		seen           int
		made, operator bool
	}{
		"another row":            {schema.KindZone, "z2", `{}`, 0, true, true},
		"by the control loop":    {schema.KindZone, "z2", `{}`, 0, true, false},
		"removal of the odd one": {schema.KindVM, "odd", ``, 1, true, true},
		"correction":             {schema.KindRack, "odd", `{"zone":"z"}`, 1, true, true},
		"another odd one":        {schema.KindRack, "r2", `{"zone":"none"}`, 0, false, true},
		"odd in another way":     {schema.KindRack, "odd", `{"zone":"nowhere"}`, 1, false, true},
		"one in service":         {schema.KindVM, "v", ``, 1, false, true},
		"what others refer to":   {schema.KindRack, "r", ``, 1, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := snap.Prepare(&table.Edit{ID: "e", Actor: "a", Operator: tc.operator, Changes: []table.Change{
				{Key: table.Key{Kind: tc.kind, Name: tc.row}, Seen: tc.seen, Value: json.RawMessage(tc.value)},
			}}, 1)
			qt.Check(t, err == nil, qt.Equals, tc.made, qt.Commentf("%v", err))
			qt.Check(t, err == nil || errors.As(err, new(table.ErrRejected)), qt.IsTrue)
		})
	}
}
