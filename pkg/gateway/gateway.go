package gateway

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/gannetwell/gannetwell/pkg/gateway/balance"
	"github.com/gannetwell/gannetwell/pkg/gateway/limit"
	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Gateway serves callers' requests; it is an http.Handler.
type Gateway struct {
	name        string
	zone        string
	settings    schema.GatewaySettings
	log         zerolog.Logger
	metrics     *metrics
	policy      balance.Policy[*Server]
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	callerRates limit.Rates
	teamRates   limit.Rates
	claims      *once.Claims // nil without claims of keys
	failures    failures
	bodyMemory  *semaphore.Weighted // bytes of bodies that are read whole

	view     atomic.Pointer[view]
	ready    atomic.Bool
	stopping atomic.Bool
	active   atomic.Int64 // requests, upgraded connections included

	mu       sync.Mutex // guards what follows
	servers  map[string]*Server
	routes   map[string]*routeState
	services map[string]*serviceState
}

// Option changes how a Gateway is made.
type Option func(*Gateway)

// WithLogger logs one line for each request that fails.
func WithLogger(l zerolog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithClaims claims the keys of requests that must not be repeated.
func WithClaims(b *once.Claims) Option { return func(g *Gateway) { g.claims = b } }

// WithDial opens connections to backend servers by f.
func WithDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(g *Gateway) { g.dial = f }
}

// New returns a gateway of the named entry that is not ready yet.
func New(name, zone string, settings schema.GatewaySettings, opts ...Option) *Gateway {
	g := &Gateway{
		name: name, zone: zone, settings: settings,
		log: zerolog.Nop(), metrics: newMetrics(),
		policy:  newPolicy(settings.Policy),
		dial:    dialTCP,
		servers: map[string]*Server{}, routes: map[string]*routeState{}, services: map[string]*serviceState{},
	}
	g.bodyMemory = semaphore.NewWeighted(int64(max(settings.BufferTotalBytes, settings.BufferBodyBytes)))
	g.view.Store(&view{})
	for _, o := range opts {
		o(g)
	}
	return g
}

func newPolicy(p schema.GatewaySettingsPolicy) balance.Policy[*Server] {
	if p == schema.GatewaySettingsPolicyRoundRobin {
		return &balance.RoundRobin[*Server]{}
	}
	return balance.PowerOfTwo[*Server]{}
}

// SetTable puts a snapshot in force; when it returns, closed servers get no new requests.
func (g *Gateway) SetTable(snap *table.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateServers(snap)
	g.view.Store(g.newView(snap))
	g.metrics.revision.Set(float64(snap.Revision))
}

// Mark tells what a source knows of a VM's server; a VM that is not in the table is passed over.
func (g *Gateway) Mark(vm string, src Source, closed bool) {
	g.mu.Lock()
	server, ok := g.servers[vm]
	g.mu.Unlock()
	if ok {
		server.setClosed(src, closed)
	}
}

// InFlight returns how many requests the entry has in flight to a VM's server.
func (g *Gateway) InFlight(vm string) int {
	g.mu.Lock()
	server, ok := g.servers[vm]
	g.mu.Unlock()
	if !ok {
		return 0
	}
	return int(server.inFlight.Load())
}

// SetReady tells whether requests are taken at all.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// Ready tells whether the balancer should send requests here.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.stopping.Load() }

// Stop begins a planned stop: requests are still served, but callers are told to open other connections.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Active returns the number of requests and upgraded connections.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// WaitIdle returns when nothing is active or ctx ends.
func (g *Gateway) WaitIdle(ctx context.Context) error {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for g.Active() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// Close drops the connections to backend servers.
func (g *Gateway) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.transport.CloseIdleConnections()
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	x := &exchange{g: g, w: w, r: r, view: g.view.Load(), start: time.Now(), id: requestID(r)}
	x.setGatewayHeaders(w.Header())
	x.serve()
}

const (
	requestIDBytes  = 12
	maxRequestIDLen = 128
)

// requestID returns the caller's ID of a request, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= maxRequestIDLen {
		return id
	}
	raw := make([]byte, 0, requestIDBytes+4)
	for len(raw) < requestIDBytes {
		v := rand.Uint64()
		for i := range 8 {
			raw = append(raw, byte(v>>(8*i)))
		}
	}
	return hex.EncodeToString(raw[:requestIDBytes])
}
