package node

import (
	"context"
	"net"
	"net/http"
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
	"github.com/gannetwell/gannetwell/pkg/ownership"
	"github.com/gannetwell/gannetwell/pkg/peer"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

const (
	// RetryAfter is when a caller that was refused should come again; HTTP has whole seconds.
	RetryAfter = time.Second
	// noticeTime is how long after it has ceased to be ready a node that stops goes on
	// taking requests: the balancer asks each second and wants two answers, and a
	// request on a kept connection may wait for half a second in front of a link that
	// is full. At 2.5 s one was closed without an answer 0.46 s after it was sent.
	noticeTime = 3500 * time.Millisecond
	// finishTime bounds the requests that are still open when a node stops.
	finishTime = 2 * time.Second
	// answerTime is what the answers to open requests need at the end of that time,
	// which are given up before their connections are closed.
	answerTime = 500 * time.Millisecond
	// endTime is what the process needs to end after that.
	endTime = 400 * time.Millisecond
	// cutOffAfter is for how long the table service must not have answered an entry
	// that does not hear most others for it to count as cut off. Calls for changes
	// are answered each second; callers come to the entry until it says that it is
	// not ready, and then for two seconds more. 1.1 s instead of up to 2.5 s gains
	// 0.007 +- 0.007 of what callers get on days with trouble (80 pairs).
	cutOffAfter = 1100 * time.Millisecond
)

// Source is where the operator's configuration and the workers' directory are kept, and how they read.
type Source struct {
	CatalogTable  string
	CatalogKey    string
	WorkerTable   string
	DecodeCatalog func(raw []byte) (*catalog.Catalog, error)
	DecodeWorker  func(id string, raw []byte) (platform.Worker, error)
	// DecodeWave reads a row of CatalogTable; ok is false if it is no request for maintenance.
	DecodeWave func(key string, raw []byte) (w fleetops.Wave, ok bool, err error)
	// DecodeEvacuation reads a row of CatalogTable that takes an availability zone out of use while it
	// is there; ok is false if it is of another kind.
	DecodeEvacuation func(key string, raw []byte) (zone string, ok bool, err error)
	// EncodeWave makes the row that tells the operator how far a wave has come.
	EncodeWave func(wave int, completed bool) (platform.Row, error)
}

// Services is what the node needs of the platform.
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
	clock    *elapsed.Clock // of this entry
	log      zerolog.Logger
	metrics  *metrics

	source   Source
	platform Services
	rows     *reach // the table service of platform

	members *ownership.Members
	keeper  *ownership.Manager

	ending    context.Context // ends when a node that stops waits no longer for what it was asked
	endAnswer func()          // ends it

	stop     chan struct{} // closed by Stop
	stopOnce sync.Once
	stopping atomic.Bool // a planned stop is under way

	catalog     atomic.Pointer[stored]
	evacuations evacuations

	mu      sync.Mutex
	workers map[string]platform.Worker // by boot
	// badWorkers are the versions of rows in the directory that name no worker, by boot.
	badWorkers map[string]int64
	waves      map[int]fleetops.Wave // by ID
	asked      int64                 // newest configuration version that a peer is being asked for
}

// stored is a configuration with the bytes it was read from, which peers may ask for.
type stored struct {
	*catalog.Catalog
	raw []byte
}

// New returns a node that is not running yet.
func New(s schema.ServiceSettings, services Services, src Source, log zerolog.Logger) *Node {
	clock := elapsed.New()
	rows := &reach{Rows: services, log: log, clock: clock}
	n := &Node{
		settings: s, clock: clock, log: log, metrics: newMetrics(), source: src, platform: services, rows: rows,
		stop: make(chan struct{}), workers: map[string]platform.Worker{}, badWorkers: map[string]int64{}, waves: map[int]fleetops.Wave{},
		evacuations: evacuations{rows: map[string]evacuation{}},
	}
	n.ending, n.endAnswer = context.WithCancel(context.Background())
	n.self = ownership.Member{
		Name: s.Name, Address: net.JoinHostPort(s.Address, strconv.Itoa(s.Ports[0])), Zone: s.Zone,
		Start: time.Now().UnixNano(), Share: s.CpuShare,
	}
	n.members = ownership.NewMembers(n.self, rows, log, clock, local{n})
	rows.onLost = n.members.PingAll
	n.keeper = ownership.NewManager(n.identity(), n.members, n.openShard, log, clock)
	return n
}

// Catalog returns the configuration in force, nil while it is not known.
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

// Ready tells whether the node should get callers' connections.
func (n *Node) Ready() (ready bool, why string) {
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case n.Catalog() == nil:
		return false, "the configuration is not known yet"
	case n.cutOff():
		return false, "neither the table service nor most other entries answer"
	}
	return true, ""
}

// cutOff tells whether this entry has no way to take work while others probably
// have: it neither reaches the table service nor hears most other entries. Were
// the service down for all, the others would be heard, and say the same as we do.
func (n *Node) cutOff() bool {
	return n.rows.silentFor() > cutOffAfter && !n.members.HasMajority()
}

// Stop begins a planned stop.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stop) }) }

// Handlers are what the node serves to those outside.
type Handlers struct {
	Callers   http.Handler
	Readiness http.Handler
}

// Run serves until the node is stopped.
func (n *Node) Run(h Handlers) (err error) {
	defer func() { err = errors.Wrap(err, "run node") }()
	n.log.Info().Str("event", "start").Str("entry", n.self.Name).Str("zone", n.self.Zone).Int64("start", n.self.Start).Send()
	defer func() { n.log.Info().Str("event", "stop").Str("entry", n.self.Name).Err(err).Send() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	links, err := net.Listen("tcp", n.self.Address)
	if err != nil {
		return err
	}
	callers, err := listenHTTP(n.settings.Callers, n.closingUnlessReady(h.Callers))
	if err != nil {
		return err
	}
	readiness, err := listenHTTP(n.settings.Readiness, h.Readiness)
	if err != nil {
		return err
	}
	figures, err := listenHTTP(net.JoinHostPort(n.settings.Address, metricsPort), n.operators())
	if err != nil {
		return err
	}
	var g run.Group
	actor := func(f func(ctx context.Context) error) {
		ctx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	actor(peer.NewCallServer(links, n.answerPeer, n.log).Serve)
	for _, s := range []*httpActor{callers, readiness, figures} {
		g.Add(s.serve, s.interrupt)
	}
	actor(n.keeper.Run)
	actor(n.followCatalog)
	actor(n.followWorkers)
	actor(n.followMembers)
	actor(n.watchSuspensions)
	actor(n.followOwners)
	actor(func(ctx context.Context) error { return n.plannedStop(ctx, callers) })
	return g.Run()
}

// plannedStop waits for Stop, hands the shards over, lets the balancer take
// note, and finishes what is open.
func (n *Node) plannedStop(ctx context.Context, callers *httpActor) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.stop:
	}
	n.log.Info().Str("event", "stop_begins").Send()
	n.stopping.Store(true)
	closing := time.After(n.takesRequestsFor())
	n.keeper.Release(ctx)
	select {
	case <-ctx.Done():
		return nil
	case <-closing:
	}
	finish, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	defer time.AfterFunc(finishTime-answerTime, n.endAnswer).Stop()
	return errors.Wrap(callers.server.Shutdown(finish), "finish open requests")
}

// takesRequestsFor is how long after the beginning of a planned stop requests are
// still taken, within the time that the platform leaves before it kills the process.
func (n *Node) takesRequestsFor() time.Duration {
	return max(0, min(noticeTime, seconds(n.settings.Timing.GraceS)-finishTime-endTime))
}
