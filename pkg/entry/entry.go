package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/certs"
	"github.com/gannetwell/gannetwell/pkg/control"
	"github.com/gannetwell/gannetwell/pkg/fleet"
	"github.com/gannetwell/gannetwell/pkg/gateway"
	"github.com/gannetwell/gannetwell/pkg/gateway/once"
	"github.com/gannetwell/gannetwell/pkg/membership"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Entry is an entry daemon.
type Entry struct {
	settings schema.Settings
	log      zerolog.Logger
	limits   fleet.Limits
	platform platform.Platform
	dial     Dial // nil for the defaults of gateway and membership
	traffic  *controlTraffic
	registry *prometheus.Registry

	callers, operators *httpListener
	peerListener       net.Listener
	peerTLS            *certs.Reloader
	maxLinks           int // of peers

	gateway  *gateway.Gateway
	replica  *replica.Replica
	peers    *membership.Peers
	servers  *membership.Servers
	follower *replica.Follower
	loop     *control.Loop
	claims   *once.Claims
	observer *control.Observer

	stopOnce sync.Once
	stop     chan struct{}
}

// Option configures an Entry.
type Option func(*Entry)

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option { return func(e *Entry) { e.log = l } }

// WithPlatform uses p instead of the platform from the settings.
func WithPlatform(p platform.Platform) Option { return func(e *Entry) { e.platform = p } }

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// WithDial uses d to open connections to backend servers and peers.
func WithDial(d Dial) Option { return func(e *Entry) { e.dial = d } }

// WithLimits sets the limits of fleet decisions.
func WithLimits(l fleet.Limits) Option { return func(e *Entry) { e.limits = l } }

// New creates an entry and binds its listeners. The caller must then call Run.
func New(settings schema.Settings, opts ...Option) (e *Entry, err error) {
	defer func() { err = errors.Wrapf(err, "create entry %s", settings.Name) }()
	e = &Entry{
		settings: settings, log: zerolog.Nop(), limits: fleet.DefaultLimits(),
		traffic: newTraffic(), registry: prometheus.NewRegistry(), stop: make(chan struct{}),
	}
	for _, o := range opts {
		o(e)
	}
	e.log = e.log.With().Str("entry", settings.Name).Logger()
	if e.platform == nil {
		e.platform = rest.New(settings.Platform.URL,
			rest.WithTimeout(ms(settings.Platform.TimeoutMs)), rest.WithBytes(e.traffic.store))
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.assemble()
	return e, e.register()
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// assemble creates and connects the components.
func (e *Entry) assemble() {
	s := e.settings
	e.claims = once.New(e.platform, s.Name)
	gatewayOptions := []gateway.Option{gateway.WithLogger(e.log), gateway.WithClaims(e.claims)}
	serversOptions := []membership.ServersOption{
		membership.WithProbeInterval(ms(s.Gateway.ProbeIntervalMs)),
		membership.WithOnList(e.onVMList),
		membership.WithServersLogger(e.log),
	}
	if e.dial != nil {
		gatewayOptions = append(gatewayOptions, gateway.WithDial(e.dial))
		serversOptions = append(serversOptions, membership.WithProbeDial(e.dial))
	}
	e.gateway = gateway.New(s.Name, s.Zone, s.Gateway, gatewayOptions...)
	e.replica = replica.New(e.platform, replica.WithNotify(e.onTable), replica.WithLogger(e.log))
	self := schema.PeerState{
		Name: s.Name, Incarnation: int(time.Now().UnixMilli()), Zone: s.Zone, Address: e.PeerAddress(),
	}
	peersOptions := []membership.PeersOption{
		membership.WithInFlight(e.gateway.InFlight),
		membership.WithStopping(e.stopping),
		membership.WithInterval(ms(s.Control.SyncIntervalMs)),
		membership.WithPeerTLS(e.peerClientTLS),
		membership.WithPeerBytes(e.traffic.peers),
		membership.WithPeerLogger(e.log),
	}
	if e.dial != nil {
		peersOptions = append(peersOptions, membership.WithPeerDial(e.dial))
	}
	e.peers = membership.NewPeers(self, s.Peers.Secret, e.replica, peersOptions...)
	e.peers.SetAddresses(s.Peers.Seeds)
	e.servers = membership.NewServers(s.Zone, e.replica, e.platform, marker{e.gateway}, serversOptions...)
	e.follower = replica.NewFollower(e.replica, ms(s.Control.HeadIntervalMs), e.isReader, e.log)
	e.observer = &control.Observer{VMs: e.platform, Servers: e.servers, Entries: e.entries(), LocalInFlight: e.gateway.InFlight}
	e.loop = control.New(s.Name, e.replica, e.platform, e.observer,
		control.WithInterval(ms(s.Control.StepIntervalMs)),
		control.WithLease(ms(s.Control.LeaseMs)),
		control.WithLimits(e.limits),
		control.WithPaused(func() bool { return e.stopping() || !e.gateway.Ready() }),
		control.WithLogger(e.log))
}

func (e *Entry) peerClientTLS() *tls.Config {
	if e.peerTLS == nil {
		return nil
	}
	return e.peerTLS.PeerClient()
}

// register registers the metrics of all components.
func (e *Entry) register() error {
	if err := e.gateway.Register(e.registry); err != nil {
		return err
	}
	for _, c := range append(e.traffic.collectors(), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})) {
		if err := e.registry.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// Run runs the entry until a graceful shutdown is complete or ctx ends.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "run entry %s", e.settings.Name) }()
	var g run.Group
	callerServer := e.callerServer()
	operatorServer := e.operatorServer()
	e.addServer(&g, callerServer, e.callers)
	e.addServer(&g, operatorServer, e.operators)
	peerServer := peer.NewServer(e.peerListener, e.settings.Peers.Secret, e.peers.Handle,
		peer.WithLogger(e.log), peer.WithServerBytes(e.traffic.peers), peer.WithServerMaxLinks(e.maxLinks))
	e.addActor(&g, ctx, peerServer.Serve)
	e.addActor(&g, ctx, e.peers.Run)
	e.addActor(&g, ctx, e.servers.Run)
	e.addActor(&g, ctx, e.follow)
	e.addActor(&g, ctx, e.loop.Run)
	e.addActor(&g, ctx, e.claims.Run)
	e.addActor(&g, ctx, e.sweepClaims)
	e.addActor(&g, ctx, func(ctx context.Context) error { return e.awaitStop(ctx, callerServer) })
	e.log.Info().Str("event", "entry_started").Str("zone", e.settings.Zone).
		Str("callers", e.CallerAddress()).Str("operators", e.OperatorAddress()).Str("peers", e.PeerAddress()).Send()
	err = g.Run()
	e.gateway.Close()
	e.log.Info().Str("event", "entry_ended").Err(err).Send()
	return err
}

// addActor adds a component that runs until its context ends.
func (e *Entry) addActor(g *run.Group, ctx context.Context, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addServer adds an HTTP server.
func (e *Entry) addServer(g *run.Group, s *http.Server, ln *httpListener) {
	ln.limit.Attach(s)
	done := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-done // Shutdown ends Serve early; wait until the group ends
		return nil
	}, func(error) {
		close(done)
		_ = s.Close()
	})
}

// follow loads the table, reports the entry ready once it is up to date, and then keeps
// following the store.
func (e *Entry) follow(ctx context.Context) error {
	const retry = 100 * time.Millisecond
	for !e.caughtUp(ctx) {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(retry):
		}
	}
	e.gateway.SetReady(true)
	e.log.Info().Str("event", "entry_ready").Int("revision", e.replica.Revision()).Send()
	return e.follower.Run(ctx)
}

// sweepClaims deletes expired idempotency keys while this entry holds the control lease.
func (e *Entry) sweepClaims(ctx context.Context) error {
	const interval = 10 * time.Minute
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
		if !e.loop.HoldsLease() {
			continue
		}
		n, err := e.claims.Sweep(ctx, time.Now())
		e.log.Info().Str("event", "claims_swept").Int("removed", n).Err(err).Send()
	}
}

// caughtUp loads the latest table and reports whether the store or a peer was reached and none
// of them has a higher revision.
func (e *Entry) caughtUp(ctx context.Context) bool {
	e.servers.ReadList(ctx) // provides the addresses of the peers
	stored, err := e.follower.CatchUp(ctx)
	highest, reached := e.peers.SyncAll(ctx)
	if err != nil && reached == 0 {
		return false
	}
	return e.replica.Revision() >= max(stored, highest)
}

// Stop starts a graceful shutdown.
func (e *Entry) Stop() { e.stopOnce.Do(func() { close(e.stop) }) }

func (e *Entry) stopping() bool {
	select {
	case <-e.stop:
		return true
	default:
		return false
	}
}

// awaitStop waits for Stop, then for the notice period and for all requests in flight.
func (e *Entry) awaitStop(ctx context.Context, callers *http.Server) error {
	select {
	case <-ctx.Done():
		return nil
	case <-e.stop:
	}
	e.gateway.Stop()
	e.log.Info().Str("event", "entry_stopping").Int("active", e.gateway.Active()).Send()
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(ms(e.settings.Gateway.StopNoticeMs)):
	}
	if err := callers.Shutdown(ctx); err != nil {
		return nil // ctx ended
	}
	if err := e.gateway.WaitIdle(ctx); err != nil { // upgraded connections, which Shutdown does not wait for
		return nil // ctx ended
	}
	e.peers.Leave(ctx)
	return nil
}
