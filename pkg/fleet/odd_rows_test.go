package fleet_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/fleet"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// TestOddRows guards against a row of another writer that ends the control loop, or has it take a sound pool's VMs out of
// service.
func TestOddRows(t *testing.T) {
	for name, odd := range map[string]string{
		"no fields":        `{}`,
		"negative numbers": `{"size":-9223372036854775808,"max_unavailable":-9223372036854775808,"phase_since_ms":-9223372036854775808,"maintained_at_ms":-9223372036854775808,"operation_boot":-1,"max_parallel":-5,"started_at_ms":-1,"pool":"odd","rack":"odd","zone":"odd","service":"odd","phase":"draining","state":"running","pools":["odd"]}`,
		"large numbers":    `{"size":9223372036854775807,"max_unavailable":9223372036854775807,"phase_since_ms":9223372036854775807,"maintained_at_ms":9223372036854775807,"operation_boot":9223372036854775807,"max_parallel":9223372036854775807,"started_at_ms":9223372036854775807,"pool":"odd","rack":"odd","zone":"odd","service":"odd","phase":"checking","state":"running","pools":["odd"]}`,
		"unknown names":    `{"pool":"none","rack":"none","zone":"none","service":"none","phase":"none","state":"none","pools":["none"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			rows := map[string]string{"zone/z": `{}`, "rack/r": `{"zone":"z"}`, "service/s": `{}`, "pool/p": `{"service":"s","size":3,"max_unavailable":1}`}
			observed := map[string]fleet.Observation{}
			now := time.UnixMilli(1_000_000)
			for i := range 3 {
				vm := fmt.Sprintf("v%d", i)
				rows["vm/"+vm] = `{"rack":"r","pool":"p","phase":"active"}`
				observed[vm] = fleet.Observation{Health: fleet.HealthGood, Since: now.Add(-time.Minute)}
			}
			for _, kind := range table.Kinds() {
				rows[string(kind)+"/odd"] = odd
			}
			var stored []table.StoredRow
			for key, value := range rows {
				kind, name, _ := strings.Cut(key, "/")
				stored = append(stored, table.StoredRow{Key: table.Key{Kind: schema.Kind(kind), Name: name}, Version: 1, Value: json.RawMessage(value)})
			}
			snap, err := table.Load(1, stored)
			qt.Assert(t, err, qt.IsNil)
			for _, observed["odd"] = range []fleet.Observation{{}, {Health: fleet.HealthBad, Since: now.Add(-time.Hour)}, {Health: fleet.HealthGood, Since: now}} {
				for _, a := range fleet.Decide(fleet.State{Table: snap, Observed: observed, Now: now}, fleet.DefaultLimits()) {
					qt.Check(t, strings.HasPrefix(a.VM, "v"), qt.IsFalse, qt.Commentf("%s of %s: %s", a.Kind, a.VM, a.Reason))
				}
			}
		})
	}
}
