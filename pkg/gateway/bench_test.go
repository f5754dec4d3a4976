package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gannetwell/gannetwell/pkg/gateway"
	"github.com/gannetwell/gannetwell/pkg/gateway/balance"
	"github.com/gannetwell/gannetwell/pkg/gateway/limit"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// target is a balance.Target with a fixed cost.
type target struct{ cost float64 }

func (t *target) Usable() bool  { return true }
func (t *target) Cost() float64 { return t.cost }

// BenchmarkPick measures the choice among 10 to 1,700 targets.
func BenchmarkPick(b *testing.B) {
	none := func(*target) bool { return false }
	for _, n := range []int{10, 100, 1700} {
		targets := make([]*target, n)
		for i := range targets {
			targets[i] = &target{cost: float64(i)}
		}
		for name, p := range map[string]balance.Policy[*target]{"p2c": balance.PowerOfTwo[*target]{}, "round-robin": &balance.RoundRobin[*target]{}} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_, _ = p.Pick(targets, none)
				}
			})
		}
	}
}

// BenchmarkAdmit measures Acquire without waiting.
func BenchmarkAdmit(b *testing.B) {
	var q limit.Queue
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		_ = q.Acquire(ctx, schema.ClassInteractive, func() bool { return true })
	}
}

// BenchmarkForward measures one request through the gateway to a server on loopback.
func BenchmarkForward(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	defer backend.Close()
	for _, routes := range []int{1, 100} {
		g := gateway.New("e", "z", schema.GatewaySettings{BufferBodyBytes: 1 << 16, Limits: true, Retries: schema.GatewaySettingsRetriesBudget, Hedging: true})
		snap := testTable(1, strings.TrimPrefix(backend.URL, "http://"))
		for i := range routes {
			row := snap.Routes["safe"]
			row.Value.PathPrefix = fmt.Sprintf("/other-%d", i)
			snap.Routes[fmt.Sprintf("other-%d", i)] = row
		}
		g.SetTable(snap)
		g.SetReady(true)
		b.Run(fmt.Sprintf("%d routes", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/safe", nil))
			}
		})
		g.Close()
	}
}
