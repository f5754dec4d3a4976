package scenario

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/bench/cluster"
	"github.com/gannetwell/gannetwell/pkg/bench/load"
	"github.com/gannetwell/gannetwell/pkg/bench/standin"
	"github.com/gannetwell/gannetwell/pkg/entry"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/service/api"
)

// Variant names a set of gateway settings to measure.
type Variant string

// Variants.
const (
	VariantProduct  Variant = "product"
	VariantBaseline Variant = "baseline"
)

// gatewaySettings returns the gateway settings in which a variant differs from the defaults.
func gatewaySettings(v Variant) map[string]any {
	if v == VariantBaseline {
		return map[string]any{"policy": "round-robin", "limits": false, "hedging": false, "retries": "always"}
	}
	return map[string]any{}
}

// VariantResult holds the measurements of one variant in the fault phase.
type VariantResult struct {
	GoodputRPS    float64                      `json:"goodput_rps"`
	P50Ms         float64                      `json:"p50_ms"`
	P99Ms         float64                      `json:"p99_ms"`
	P999Ms        float64                      `json:"p999_ms"`
	ByClass       map[schema.Class]ClassResult `json:"by_class"`
	ShedByClass   map[schema.Class]int         `json:"shed_by_class"`
	RetriesRatio  float64                      `json:"retries_ratio"` // backend requests per caller request
	WrongAnswers  int                          `json:"wrong_answers"`
	OnceRanTwice  int                          `json:"once_ran_twice"`
	NotRunButRan  int                          `json:"not_run_but_ran"`
	CutOff        int                          `json:"cut_off"`
	CutOffByFault int                          `json:"struck_by_fault"` // cut off within detectionWindow of a fault
	RSSMB         float64                      `json:"rss_mb"`          // resident memory of the whole process
	NotRunReasons map[string]int               `json:"not_run_reasons"`
	Distribution  []Bucket                     `json:"distribution"`
	Timeline      []Point                      `json:"timeline"`
	Details       []string                     `json:"details"`
}

// Result holds the results of a scenario.
type Result struct {
	Scenario    string                    `json:"scenario"`
	OfferedRPS  float64                   `json:"offered_rps"`
	CapacityRPS float64                   `json:"capacity_rps"`
	FaultS      float64                   `json:"fault_s"`
	Variants    map[Variant]VariantResult `json:"variants"`
}

// Options sets the phase durations and the seed of the load.
type Options struct {
	Steady time.Duration
	Fault  time.Duration
	Seed   uint64
}

// DefaultOptions returns the default durations and seed.
func DefaultOptions() Options {
	return Options{Steady: 4 * time.Second, Fault: 8 * time.Second, Seed: 1}
}

// Run measures a scenario with each variant, the product first.
func Run(ctx context.Context, name string, o Options) (r Result, err error) {
	defer func() { err = errors.Wrapf(err, "scenario %s", name) }()
	s, ok := scenarios[name]
	if !ok {
		return r, errors.Errorf("unknown scenario, known are %s", strings.Join(Names(), ", "))
	}
	r = Result{
		Scenario: name, CapacityRPS: capacityRPS, OfferedRPS: capacityRPS * steadyLoadFraction * s.offeredFactor(),
		FaultS: o.Fault.Seconds(), Variants: map[Variant]VariantResult{},
	}
	for _, v := range []Variant{VariantProduct, VariantBaseline} {
		f, err := runVariant(ctx, s, v, o)
		if err != nil {
			return r, err
		}
		r.Variants[v] = f
	}
	return r, nil
}

// steadyLoadFraction is the steady load as a fraction of the capacity.
const steadyLoadFraction = 0.5

// Names returns the names of the scenarios in alphabetical order.
func Names() []string { return slices.Sorted(maps.Keys(scenarios)) }

// environment holds the running deployment into which a scenario injects its fault.
type environment struct {
	ctx       context.Context
	standin   *standin.Standin
	entries   *cluster.Entries
	balancer  *load.Balancer
	partition *partition
	collector *collector
	addLoad   func(factor float64, d time.Duration) // adds load for d
}

func runVariant(ctx context.Context, s scenario, v Variant, o Options) (f VariantResult, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	so := standin.DefaultOptions()
	so.Seed, so.Slots = o.Seed, slotsPerServer
	st, err := standin.New("scenario", tableRows(), so)
	if err != nil {
		return f, err
	}
	defer st.Close()
	p := newPartition(st)
	b := load.NewBalancer()
	entries := cluster.New(st, b, cluster.WithGatewaySettings(gatewaySettings(v)), cluster.WithEntryOptions(func(zone string) []entry.Option {
		return []entry.Option{entry.WithDial(p.dial(zone))}
	}), cluster.WithOnStart(p.addEntry))
	defer entries.CloseAll()
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { b.Run(ctx) })
	for i := range zones {
		if err := entries.Start(ctx, fmt.Sprintf("entry-%d", i+1), i); err != nil {
			return f, err
		}
	}
	for b.ReadyCount() < zones && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	if err := applyTable(ctx, entries, st); err != nil {
		return f, err
	}
	time.Sleep(time.Second) // lets the first health probes finish
	return measure(ctx, s, o, &environment{ctx: ctx, standin: st, entries: entries, balancer: b, partition: p, collector: newCollector(st.Checker)}, &background)
}

// applyTable writes the deployment's rows through the operators' API.
func applyTable(ctx context.Context, entries *cluster.Entries, st *standin.Standin) error {
	q := api.EditRequest{ID: "scenario", Reason: "the scenario's table"}
	for _, r := range st.Table.Stored() {
		q.Changes = append(q.Changes, api.RowChange{Kind: string(r.Key.Kind), Name: r.Key.Name, Value: r.Value})
	}
	_, err := entries.AnyClient().Edit(ctx, q)
	return err
}

// newStreams returns the load at a factor of the steady load.
func newStreams(factor float64) (out []load.Stream) {
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		s := load.Stream{
			Route: name, Row: routes[name], WorkUs: workUs, ResponseBytes: 600, BodyBytes: 300,
			PerSecond: capacityRPS * steadyLoadFraction * loadShares[name] * factor, LiveDuration: 2 * time.Second,
		}
		if s.Row.Class == schema.ClassLive {
			s.PerSecond = 4
		}
		out = append(out, s)
	}
	return out
}

// measure runs both phases and returns the results.
func measure(ctx context.Context, s scenario, o Options, env *environment, background *sync.WaitGroup) (f VariantResult, err error) {
	c := env.collector
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var loads sync.WaitGroup
	generate := func(ctx context.Context, name string, factor float64, seed uint64) {
		loads.Go(func() { load.NewGenerator(env.balancer, c, name, seed).Run(ctx, newStreams(factor)) })
	}
	generate(loadCtx, "base", 1, o.Seed)
	env.addLoad = func(factor float64, d time.Duration) {
		addedCtx, cancel := context.WithTimeout(loadCtx, d)
		background.Go(func() { <-addedCtx.Done(); cancel() })
		generate(addedCtx, fmt.Sprintf("more-%d", time.Now().UnixNano()), factor, o.Seed+1)
	}
	sleep(ctx, o.Steady)
	before := env.standin.Checker.StartedRequests()
	c.beginFaultPhase()
	if err := s.inject(env, o.Fault); err != nil {
		return f, err
	}
	sleep(ctx, time.Until(c.faultStart.Add(o.Fault)))
	stopLoad()
	loads.Wait()
	f = c.results(o.Fault, env.standin.Checker.StartedRequests()-before)
	f.RSSMB = residentMB()
	r := env.standin.Checker.Report()
	f.WrongAnswers, f.OnceRanTwice, f.NotRunButRan, f.CutOff = r.WrongAnswers+r.Truncated, r.OnceRanTwice, r.NotRunButRan, r.CutOff
	f.Details = env.standin.Checker.Details()
	return f, ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// results computes the results of the fault phase and stops collecting.
func (c *collector) results(d time.Duration, backendRequests int) (f VariantResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	f = VariantResult{
		ByClass: map[schema.Class]ClassResult{}, ShedByClass: map[schema.Class]int{},
		P50Ms: quantile(c.fault, 50), P99Ms: quantile(c.fault, 99), P999Ms: quantile(c.fault, 99.9),
		CutOffByFault: c.cutOffByFault, NotRunReasons: maps.Clone(c.notRunReasons),
	}
	sent, good := 0, 0
	for name, results := range c.fault.classes {
		f.ByClass[name] = ClassResult{
			Requests: results.requests, Good: results.good, Shed: results.shed,
			P50Ms: float64(results.latency.ValueAtQuantile(50)) / 1000, P99Ms: float64(results.latency.ValueAtQuantile(99)) / 1000,
			SteadyP99Ms: float64(c.steady.class(name).latency.ValueAtQuantile(99)) / 1000,
		}
		f.ShedByClass[name] = results.shed
		sent += results.requests
		good += results.good
	}
	f.GoodputRPS = float64(good) / d.Seconds()
	if sent > 0 {
		f.RetriesRatio = float64(backendRequests) / float64(sent)
	}
	for _, q := range []float64{1, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100} {
		f.Distribution = append(f.Distribution, Bucket{Ms: quantile(c.fault, q), Quantile: q})
	}
	for _, second := range slices.Sorted(maps.Keys(c.timeline)) {
		f.Timeline = append(f.Timeline, *c.timeline[second])
	}
	return f
}

func quantile(p *phase, q float64) float64 { return float64(p.all.ValueAtQuantile(q)) / 1000 }

// residentMB returns the resident memory of this process in MB, 0 if it is unavailable.
func residentMB() float64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// partition simulates a network partition between one zone and the others: existing
// connections are closed and new ones fail.
type partition struct {
	zoneOf map[string]string // zone by address

	mu        sync.Mutex
	isolated  string              // zone cut off from the others, "" for none
	crossZone map[net.Conn]string // open connections between zones, with the names of both
}

func newPartition(st *standin.Standin) *partition {
	p := &partition{zoneOf: map[string]string{}, crossZone: map[net.Conn]string{}}
	for name, vm := range st.Table.VMs {
		p.zoneOf[vm.Value.Address] = st.Table.ZoneOf(name)
	}
	return p
}

// addEntry registers the zone of an entry's peer address.
func (p *partition) addEntry(zone, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zoneOf[address] = zone
}

// dial returns the dial function of entries in a zone.
func (p *partition) dial(from string) entry.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		p.mu.Lock()
		to := p.zoneOf[addr]
		blocked := from != to && p.isolated != "" && (from == p.isolated || to == p.isolated)
		p.mu.Unlock()
		if blocked {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("zone is partitioned")}
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, addr)
		if err == nil && from != to {
			p.mu.Lock()
			p.crossZone[conn] = from + " " + to
			p.mu.Unlock()
		}
		return conn, err
	}
}

// isolate partitions a zone from the others; "" ends the partition.
func (p *partition) isolate(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = zone
	for conn, zonePair := range p.crossZone {
		if zone != "" && strings.Contains(zonePair, zone) {
			_ = conn.Close()
			delete(p.crossZone, conn)
		}
	}
}
