package node

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
)

// TestMalformedWave checks that a wave that cannot be decoded is logged and counted, and that the
// other waves of the same list are accepted.
func TestMalformedWave(t *testing.T) {
	c := qt.New(t)
	rows := fake.NewRows(time.Microsecond, time.Second)
	src := source()
	src.DecodeWave = func(key string, _ []byte) (w fleetops.Wave, ok bool, err error) {
		if key == "wave/bad" {
			return w, true, errors.New("no such time")
		}
		return fleetops.Wave{ID: len(key)}, strings.HasPrefix(key, "wave/"), nil
	}
	var log bytes.Buffer
	n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{Rows: rows.As("e0")}, src, zerolog.New(&log))
	for _, key := range []string{"wave/a", "wave/bad", "wave/later"} {
		putJSON(c, rows.As("operator"), "operator", key, struct{}{})
	}
	_, err := n.listOperatorRows(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(n.allWaves(), qt.HasLen, 2)
	c.Check(log.String(), qt.Contains, `"event":"wave_malformed","key":"wave/bad"`)
	metrics := httptest.NewRecorder()
	n.metrics.handler().ServeHTTP(metrics, httptest.NewRequest("GET", "/metrics", nil))
	c.Check(metrics.Body.String(), qt.Contains, `gannetwell_rows_malformed_total{table="operator"} 1`+"\n")
}

// TestAccountsWithoutWeight checks that a configuration with accounts that have no guaranteed rate
// takes effect, and that the log names them.
func TestAccountsWithoutWeight(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{}, source(), zerolog.New(&log))
	put := func(version int64, weights ...float64) string {
		cat := catalog.Catalog{Version: version}
		for i, weight := range weights {
			cat.Accounts = append(cat.Accounts, catalog.Account{Name: string(rune('a' + i)), Weight: weight})
		}
		raw, err := json.Marshal(cat)
		c.Assert(err, qt.IsNil)
		log.Reset()
		c.Assert(n.SetCatalog(raw), qt.IsNil)
		c.Check(n.Catalog().Version, qt.Equals, version)
		return log.String()
	}
	const event = "accounts_without_weight"
	c.Check(put(1, 5, 5, 5), qt.Not(qt.Contains), event)
	c.Check(put(2, 5, 0, 7), qt.Contains, event+`","version":2,"accounts":["b"],"count":1`)
	c.Check(put(3, 0, 0), qt.Contains, event+`","version":3,"accounts":["a","b"],"count":2`)
	c.Check(put(4, make([]float64, 25)...), qt.Matches, `(?s).*"accounts":\["a",[^]]*"j"\],"count":25.*`)
	c.Check(put(5), qt.Not(qt.Contains), event)
}

// TestWaveRows checks that a maintenance wave is what its row asks for: edited, unreadable, removed, and missing from
// a list since the feed lost its removal.
func TestWaveRows(t *testing.T) {
	c := qt.New(t)
	rows := fake.NewRows(time.Microsecond, time.Second)
	src := source()
	src.DecodeWave = func(key string, raw []byte) (w fleetops.Wave, ok bool, err error) {
		if string(raw) == "bad" {
			return w, true, errors.New("malformed")
		}
		return fleetops.Wave{ID: 1, VMs: strings.Fields(string(raw))}, key == "wave/1", nil
	}
	n := New(testSettings("e0", "127.0.0.1", 1, 2, 3), services{Rows: rows.As("e0")}, src, testLog())
	key := platform.RowKey{Table: "operator", Key: "wave/1"}
	n.applyOperatorRow(platform.Row{RowKey: key, Version: 7, Value: []byte("v1 v2")})
	c.Check(n.allWaves(), qt.DeepEquals, []fleetops.Wave{{ID: 1, VMs: []string{"v1", "v2"}, Request: platform.Row{RowKey: key, Version: 7}}})
	n.applyOperatorRow(platform.Row{RowKey: key, Version: 8, Value: []byte("v2 v3")})
	c.Check(n.allWaves(), qt.DeepEquals, []fleetops.Wave{{ID: 1, VMs: []string{"v2", "v3"}, Request: platform.Row{RowKey: key, Version: 8}}})
	n.applyOperatorRow(platform.Row{RowKey: key, Version: 9, Value: []byte("bad")})
	c.Check(n.allWaves(), qt.HasLen, 0)
	n.applyOperatorRow(platform.Row{RowKey: key, Version: 10, Value: []byte("v4")})
	c.Check(n.allWaves(), qt.HasLen, 1)
	n.applyOperatorRow(platform.Row{RowKey: key, Version: 11, Removed: true})
	c.Check(n.allWaves(), qt.HasLen, 0)
	n.applyOperatorRow(platform.Row{RowKey: key, Version: 12, Value: []byte("v4")})
	putJSON(c, rows.As("operator"), "operator", "other", struct{}{})
	_, err := n.listOperatorRows(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(n.allWaves(), qt.HasLen, 0)
}
