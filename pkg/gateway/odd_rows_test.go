package gateway_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/gateway"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// TestOddRows guards against a row of another writer that can be decoded and ends the process, or costs other rows.
func TestOddRows(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer backend.Close()
	sound := map[string]string{
		"zone/z": `{}`, "rack/r": `{"zone":"z"}`, "service/s": `{"max_in_flight":8}`, "pool/p": `{"service":"s","size":1}`,
		"vm/v":    `{"rack":"r","pool":"p","phase":"active","address":"` + backend.Listener.Addr().String() + `"}`,
		"route/a": `{"path_prefix":"/a","service":"s","deadline_ms":5000,"max_body_bytes":100,"max_in_flight":8}`,
	}
	for name, odd := range map[string]map[string]string{
		"no slots":                {"route/odd": `{"path_prefix":"/odd","service":"s","deadline_ms":5000,"max_in_flight":-1}`},
		"endless slots":           {"route/odd": `{"path_prefix":"/odd","service":"s","deadline_ms":5000,"max_in_flight":9223372036854775807}`},
		"route without a service": {"route/odd": `{"path_prefix":"/odd","service":"none","deadline_ms":5000,"max_in_flight":8}`},
		"pool without a service":  {"pool/odd": `{"service":"none"}`, "vm/odd": `{"pool":"odd","rack":"none","phase":"active","address":"127.0.0.1:99999"}`},
		"VM without a pool":       {"vm/odd": `{"pool":"none","phase":"active","address":""}`},
		"port out of range":       {"vm/odd": `{"pool":"p2","rack":"r","phase":"active","address":"127.0.0.1:99999"}`, "pool/p2": `{"service":"s2"}`, "service/s2": `{"max_in_flight":-5}`, "route/odd": `{"path_prefix":"/odd","service":"s2","deadline_ms":50,"max_in_flight":8}`},
		"numbers of 64 bits":      {"route/odd": `{"path_prefix":"/odd","service":"s","deadline_ms":9223372036854775807,"max_body_bytes":9223372036854775807,"max_in_flight":8}`},
		"negative numbers":        {"route/odd": `{"path_prefix":"/odd","service":"s","deadline_ms":-1,"max_body_bytes":-1,"max_in_flight":8}`},
		"odd team":                {"team/odd": `{"requests_per_s":-1e300,"weight":-1}`},
		"no fields":               {"route/odd": `{}`, "vm/odd": `{}`, "pool/odd": `{}`, "service/odd": `{}`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			rows := []table.StoredRow{}
			for _, all := range []map[string]string{sound, odd} {
				for key, value := range all {
					kind, name, _ := strings.Cut(key, "/")
					rows = append(rows, table.StoredRow{Key: table.Key{Kind: schema.Kind(kind), Name: name}, Version: 1, Value: json.RawMessage(value)})
				}
			}
			snap, err := table.Load(1, rows)
			c.Assert(err, qt.IsNil)
			g := gateway.New("e", "z", schema.GatewaySettings{BufferBodyBytes: 1 << 16, BufferTotalBytes: 1 << 20, Limits: true, Retries: schema.GatewaySettingsRetriesBudget})
			defer g.Close()
			g.SetTable(snap)
			g.SetReady(true)
			for _, path := range []string{"/odd", "/a"} {
				w := httptest.NewRecorder()
				r := httptest.NewRequest("GET", path, nil)
				r.Header.Set(gateway.HeaderTeam, "odd")
				g.ServeHTTP(w, r)
				c.Logf("%s: %d", path, w.Code)
				if path == "/a" && name != "odd team" {
					c.Check(w.Code, qt.Equals, http.StatusOK)
				}
			}
		})
	}
}
