package node

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/catalog"
	"github.com/gannetwell/gannetwell/pkg/elapsed"
	"github.com/gannetwell/gannetwell/pkg/fleetops"
	"github.com/gannetwell/gannetwell/pkg/httplimit"
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// RetryAfter is the delay after which a refused caller should retry, a whole number of seconds
	// for HTTP.
	RetryAfter = time.Second
	// shutdownDelay is how long a stopping node still accepts requests after it reports that it is
	// not ready. It covers two polls of the load balancer, one second apart, and the delay of
	// requests on a saturated link.
	shutdownDelay = 3500 * time.Millisecond
	// shutdownTimeout bounds the requests that are still open after shutdownDelay.
	shutdownTimeout = 2 * time.Second
	// finalAnswerTime is the last part of shutdownTimeout, in which requests that still wait for an
	// owner are canceled and answered.
	finalAnswerTime = 500 * time.Millisecond
	// processExitTime is reserved for the exit of the process after that.
	processExitTime = 400 * time.Millisecond
	// isolationTimeout is how long the table service must not have answered before an entry that
	// does not hear most others counts as isolated. It exceeds longPollWait: the feed of operator
	// rows gets an answer at least that often.
	isolationTimeout = 1100 * time.Millisecond
)

// Source describes the tables of the operator's configuration and of the worker directory, and
// their encoding.
type Source struct {
	CatalogTable  string
	CatalogKey    string
	WorkerTable   string
	DecodeCatalog func(raw []byte) (*catalog.Catalog, error)
	DecodeWorker  func(id string, raw []byte) (platform.Worker, error)
	// DecodeWave decodes a row of CatalogTable; ok is false if it is no maintenance wave.
	DecodeWave func(key string, raw []byte) (w fleetops.Wave, ok bool, err error)
	// DecodeEvacuation decodes a row of CatalogTable that evacuates an availability zone; ok is
	// false if it is of another kind.
	DecodeEvacuation func(key string, raw []byte) (zone string, ok bool, err error)
	// EncodeWave encodes the row that reports a wave's progress to the operator.
	EncodeWave func(wave int, completed bool) (platform.Row, error)
}

// Services are the platform's services that the node uses.
type Services interface {
	platform.Rows
	platform.Workers
	platform.Machines
	platform.Adviser
}

// Node is one entry of the job service.
type Node struct {
	settings schema.ServiceSettings
	self     ownership.Member
	clock    *elapsed.Clock
	log      zerolog.Logger
	metrics  *metrics

	requestBytes *httplimit.Budget // of all requests under way
	refusals     *refusals
	jobMemory    *jobMemory

	source   Source
	platform Services
	rows     *storeMonitor // the table service of platform

	members   *ownership.Members
	ownership *ownership.Manager

	waitCtx     context.Context // ends when a stopping node cancels requests that wait for an owner
	cancelWaits func()          // ends waitCtx

	stop     chan struct{} // closed by Stop
	stopOnce sync.Once
	stopping atomic.Bool // a planned stop has begun

	catalog     atomic.Pointer[storedCatalog]
	evacuations evacuations

	waveProgress fleetops.ProgressCache // of holders of the fleet operations, for the next one

	mu             sync.Mutex
	workers        map[string]platform.Worker // by boot
	workersChanged bool                       // since they were last passed to the owners
	// malformedWorkers holds the version of each malformed directory row, by boot.
	malformedWorkers map[string]int64
	waves            map[string]fleetops.Wave // by the key of the request's row
	queuePools       queuePools
	requestedCatalog int64 // newest configuration version requested from a peer
}

// storedCatalog is a configuration with its encoding, which peers may ask for.
type storedCatalog struct {
	*catalog.Catalog
	raw []byte
}

// New returns a node that does not run yet.
func New(s schema.ServiceSettings, services Services, src Source, log zerolog.Logger) *Node {
	clock := elapsed.New()
	rows := &storeMonitor{Rows: services, log: log, clock: clock}
	n := &Node{
		settings: s, clock: clock, log: log, metrics: newMetrics(), source: src, platform: services, rows: rows,
		stop: make(chan struct{}), workers: map[string]platform.Worker{}, malformedWorkers: map[string]int64{}, waves: map[string]fleetops.Wave{}, queuePools: queuePools{byRoute: map[string]cachedPools{}},
		evacuations: evacuations{rows: map[string]evacuation{}},
	}
	n.requestBytes, n.refusals = newRequestBudget(s.MemoryMb, s.RequestBytes), newRefusals(log, n.metrics)
	n.jobMemory = &jobMemory{limit: s.MemoryMb << 20 / jobMemoryPart, heap: liveHeap, collect: runtime.GC}
	n.waitCtx, n.cancelWaits = context.WithCancel(context.Background())
	n.self = ownership.Member{
		Name: s.Name, Address: net.JoinHostPort(s.Address, strconv.Itoa(s.Ports[0])), Zone: s.Zone,
		Start: time.Now().UnixNano(), CPUs: s.CpuShare,
	}
	n.members = ownership.NewMembers(n.self, rows, log, clock, local{n})
	rows.onLost = n.members.PingAll
	n.ownership = ownership.NewManager(n.identity(), n.members, n.openShard, log, clock)
	rows.onRegained = n.ownership.Wake
	return n
}

// Catalog returns the configuration in force, nil if none is known yet.
func (n *Node) Catalog() *catalog.Catalog {
	if c := n.catalog.Load(); c != nil {
		return c.Catalog
	}
	return nil
}

func (n *Node) catalogVersion() int64 {
	if c := n.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Ready reports whether the node should get callers' connections, and why not.
func (n *Node) Ready() (ready bool, why string) {
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case n.Catalog() == nil:
		return false, "the configuration is not known yet"
	case n.isolated():
		return false, "neither the table service nor most other entries answer"
	}
	return true, ""
}

// isolated reports whether this entry can't accept work although others probably can: it neither
// reaches the table service nor hears most other entries. In an outage of the table service the
// others would still be heard.
func (n *Node) isolated() bool {
	return n.rows.silentFor() > isolationTimeout && !n.members.HasMajority()
}

// Stop begins a planned stop.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stop) }) }

// Handlers are the HTTP handlers of the node's listeners.
type Handlers struct {
	JobAPI    http.Handler // serves callers, who submit, query and cancel jobs
	Readiness http.Handler // serves the load balancer's checks
}

// Run serves until the node is stopped or a part of it fails.
func (n *Node) Run(h Handlers) (err error) {
	defer func() { err = errors.Wrap(err, "run node") }()
	n.log.Info().Str("event", "start").Str("entry", n.self.Name).Str("zone", n.self.Zone).Int64("start", n.self.Start).Send()
	defer func() { n.log.Info().Str("event", "stop").Str("entry", n.self.Name).Err(err).Send() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peers, err := net.Listen("tcp", n.self.Address)
	if err != nil {
		return err
	}
	limits, err := n.connectionLimits()
	if err != nil {
		return err
	}
	jobAPI, err := n.listenHTTP(n.settings.Callers, n.closeConnUnlessReady(h.JobAPI), n.callerOptions(limits)...)
	if err != nil {
		return err
	}
	readiness, err := n.listenHTTP(n.settings.Readiness, h.Readiness, otherOptions(limits.Readiness)...)
	if err != nil {
		return err
	}
	operators, err := n.listenHTTP(net.JoinHostPort(n.settings.Address, metricsPort), n.operatorHandler(), otherOptions(limits.Operators)...)
	if err != nil {
		return err
	}
	var g run.Group
	actor := func(f func(ctx context.Context) error) {
		ctx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	actor(peer.NewCallServer(peers, n.answerPeer, n.log, peer.WithMaxLinks(limits.Peers)).Serve)
	for _, s := range []*httpActor{jobAPI, readiness, operators} {
		g.Add(s.serve, s.interrupt)
	}
	actor(n.ownership.Run)
	actor(n.followCatalog)
	actor(n.followWorkers)
	actor(n.followMembers)
	actor(n.watchSuspensions)
	actor(n.followOwners)
	actor(n.watchRecovery)
	actor(func(ctx context.Context) error { return n.plannedStop(ctx, jobAPI) })
	return g.Run()
}

// plannedStop waits for Stop, hands over the node's shards, keeps accepting requests until the load
// balancer has noticed, and finishes open requests.
func (n *Node) plannedStop(ctx context.Context, jobAPI *httpActor) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.stop:
	}
	n.log.Info().Str("event", "stop_begins").Send()
	n.stopping.Store(true)
	closing := time.After(n.acceptDuration())
	n.ownership.Release(ctx)
	select {
	case <-ctx.Done():
		return nil
	case <-closing:
	}
	finish, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	defer time.AfterFunc(shutdownTimeout-finalAnswerTime, n.cancelWaits).Stop()
	return errors.Wrap(jobAPI.server.Shutdown(finish), "finish open requests")
}

// acceptDuration returns how long requests are still accepted after a planned stop has begun,
// limited by the platform's grace period.
func (n *Node) acceptDuration() time.Duration {
	return max(0, min(shutdownDelay, seconds(n.settings.Timing.GraceS)-shutdownTimeout-processExitTime))
}
