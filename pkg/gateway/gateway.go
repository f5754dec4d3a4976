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

// Gateway forwards callers' requests to backend servers; it implements http.Handler.
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
	claims      *once.Claims // nil disables idempotency keys
	failures    failures
	bodyMemory  *semaphore.Weighted // total size of buffered request bodies, in bytes

	view     atomic.Pointer[view]
	ready    atomic.Bool
	stopping atomic.Bool
	active   atomic.Int64 // requests being served, including upgraded connections

	mu       sync.Mutex // guards the fields below
	servers  map[string]*Server
	routes   map[string]*routeState
	services map[string]*serviceState
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogger logs each failed request to l.
func WithLogger(l zerolog.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithClaims enables idempotency keys, which c claims.
func WithClaims(c *once.Claims) Option { return func(g *Gateway) { g.claims = c } }

// WithDial uses f to open connections to backend servers.
func WithDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(g *Gateway) { g.dial = f }
}

// New returns a gateway for the named entry in a zone. It rejects requests until
// SetReady(true).
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

// SetTable makes a snapshot current. After it returns, no new request goes to a server that the
// snapshot closes.
func (g *Gateway) SetTable(snap *table.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateServers(snap)
	g.view.Store(g.newView(snap))
	g.metrics.revision.Set(float64(snap.Revision))
}

// SetClosed closes or reopens a VM's server on behalf of a source. VMs that are not in the table
// are ignored.
func (g *Gateway) SetClosed(vm string, src Source, closed bool) {
	g.mu.Lock()
	server, ok := g.servers[vm]
	g.mu.Unlock()
	if ok {
		server.setClosed(src, closed)
	}
}

// InFlight returns the number of requests that this entry has in flight to a VM's server.
func (g *Gateway) InFlight(vm string) int {
	g.mu.Lock()
	server, ok := g.servers[vm]
	g.mu.Unlock()
	if !ok {
		return 0
	}
	return int(server.inFlight.Load())
}

// SetReady sets whether requests are accepted.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// Ready reports whether the load balancer should send requests to this entry.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.stopping.Load() }

// Stop starts a graceful shutdown: requests are still served, but responses ask callers to
// close the connection.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Active returns the number of requests being served, including upgraded connections.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// WaitIdle waits until no request is active. It returns the error of ctx if that ends first.
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

// Close closes the idle connections to backend servers.
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

// requestID returns the request ID set by the caller, or a random one.
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
