package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gannetwell/gannetwell/pkg/bench/checker"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// Stream describes the load on one route.
type Stream struct {
	Route         string
	Row           schema.Route
	PerSecond     float64
	WorkUs        int           // processing time of a request, in microseconds
	ResponseBytes int           // padding of a response
	BodyBytes     int           // length of a request body
	LiveDuration  time.Duration // duration of a live exchange
}

// defaultStreams holds the load of a route by its class, before scaling.
var defaultStreams = map[schema.Class]Stream{
	schema.ClassLive:        {PerSecond: 2, LiveDuration: 3 * time.Second},
	schema.ClassInteractive: {PerSecond: 60, WorkUs: 1500, ResponseBytes: 600, BodyBytes: 300},
	schema.ClassClerk:       {PerSecond: 25, WorkUs: 4000, ResponseBytes: 4000, BodyBytes: 800},
	schema.ClassBatch:       {PerSecond: 4, WorkUs: 40000, ResponseBytes: 200000, BodyBytes: 100000},
}

// StreamsOf returns the load on a deployment's routes, with all rates multiplied by scale.
func StreamsOf(routes map[string]schema.Route, scale float64) (streams []Stream) {
	for name, row := range routes {
		s := defaultStreams[row.Class]
		s.Route, s.Row = name, row
		s.PerSecond *= scale
		streams = append(streams, s)
	}
	return streams
}

// Generator sends requests and reports each result to its sink.
type Generator struct {
	balancer *Balancer
	sink     Sink
	rng      *rand.Rand
	prefix   string
	lastID   atomic.Int64
	inFlight atomic.Int64
	client   *http.Client
	requests sync.WaitGroup
}

// Sink receives results; checker.Checker implements it.
type Sink interface {
	Revision(entry string) int
	Finished(r checker.Request, seen int)
}

const (
	maxIdleConns = 256
	// maxInFlight keeps a generator within the process's limit of open files; requests above it are not sent.
	maxInFlight    = 3000
	requestTimeout = time.Minute
)

// NewGenerator returns a generator whose request IDs start with prefix.
func NewGenerator(b *Balancer, sink Sink, prefix string, seed uint64) *Generator {
	return &Generator{
		balancer: b, sink: sink, prefix: prefix, rng: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{
			Timeout:   requestTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true},
		},
	}
}

// Run sends the streams until ctx is done, then waits for the requests in flight.
func (g *Generator) Run(ctx context.Context, streams []Stream) {
	var senders sync.WaitGroup
	for _, s := range streams {
		seed := g.rng.Uint64()
		senders.Go(func() { g.runStream(ctx, s, rand.New(rand.NewPCG(seed, 2))) })
	}
	senders.Wait()
	g.requests.Wait()
	g.client.CloseIdleConnections()
}

// runStream sends one stream's requests as a Poisson process with its mean rate.
func (g *Generator) runStream(ctx context.Context, s Stream, rng *rand.Rand) {
	for {
		gap := time.Duration(rng.ExpFloat64() / s.PerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		g.requests.Go(func() { g.sendOne(s) })
	}
}

// sendOne sends a request to a ready entry; without one, the request counts as not run.
func (g *Generator) sendOne(s Stream) {
	id := fmt.Sprintf("%s-%s-%d", g.prefix, s.Route, g.lastID.Add(1))
	r := checker.Request{ID: id, Once: s.Row.Repeat == schema.RepeatOnce, Class: s.Row.Class}
	addr, ok := g.balancer.Pick()
	defer g.inFlight.Add(-1)
	if g.inFlight.Add(1) > maxInFlight || !ok {
		now := time.Now()
		r.Sent, r.Done, r.Result, r.Detail = now, now, checker.ResultNotRun, "no entry is ready, or too many requests are in flight"
		g.sink.Finished(r, 0)
		return
	}
	r.Entry = addr
	seen := g.sink.Revision(addr)
	r.Sent = time.Now()
	if s.Row.Class == schema.ClassLive {
		g.exchangeLive(s, &r)
	} else {
		g.exchange(s, &r)
	}
	r.Done = time.Now()
	g.sink.Finished(r, seen)
}
