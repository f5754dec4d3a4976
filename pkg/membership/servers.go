package membership

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/replica"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Health is what a probe says of a backend server.
type Health string

// The results of a probe.
const (
	HealthUnknown Health = ""
	HealthGood    Health = "good"
	HealthLeaving Health = "leaving" // the server itself says that it takes no new work
	HealthBad     Health = "bad"
)

// Marker closes and opens servers at the request path.
type Marker interface {
	MarkList(vm string, closed bool)
	MarkLeaving(vm string, closed bool)
	MarkHealth(vm string, closed bool)
}

const (
	probeTimeout   = 500 * time.Millisecond
	maxProbeAnswer = 4 << 10
	// badProbes in a row close a server: one lost probe is no sign.
	badProbes = 2
	// allZones is how much more seldom the list of all zones is read than that of the own one.
	allZones = 10
	// probeWorkers bounds the probes at one time.
	probeWorkers = 32
)

// Servers follows the backend servers.
type Servers struct {
	replica  *replica.Replica
	lister   platform.Lister
	marker   Marker
	zone     string
	interval time.Duration
	log      zerolog.Logger
	client   *http.Client
	onList   func(platform.VMList)

	mu     sync.Mutex
	probes map[string]*probed // by VM
	list   platform.VMList
}

// probed is the last results of one server's probes.
type probed struct {
	health Health
	bad    int // failures in a row
	at     time.Time
}

// ServersOption changes how Servers are made.
type ServersOption func(*Servers)

// WithProbeInterval sets the time between two probes of a server.
func WithProbeInterval(d time.Duration) ServersOption { return func(s *Servers) { s.interval = d } }

// WithServersLogger logs servers whose health changes.
func WithServersLogger(l zerolog.Logger) ServersOption { return func(s *Servers) { s.log = l } }

// WithProbeDial opens the probes' connections by f.
func WithProbeDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) ServersOption {
	return func(s *Servers) {
		s.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DialContext: f}
	}
}

// WithOnList is told of each VM list that is read.
func WithOnList(f func(platform.VMList)) ServersOption { return func(s *Servers) { s.onList = f } }

// NewServers returns the follower of an entry in a zone.
func NewServers(zone string, r *replica.Replica, lister platform.Lister, m Marker, opts ...ServersOption) *Servers {
	s := &Servers{
		replica: r, lister: lister, marker: m, zone: zone,
		interval: time.Second, log: zerolog.Nop(),
		onList: func(platform.VMList) {},
		probes: map[string]*probed{},
		client: &http.Client{
			Timeout:   probeTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Run probes and reads the list until ctx ends.
func (s *Servers) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer s.client.CloseIdleConnections()
	wg.Go(func() { every(ctx, s.interval, s.ReadZone) })
	wg.Go(func() { every(ctx, allZones*s.interval, s.ReadList) })
	every(ctx, s.interval, s.probeAll)
	return nil
}

// every calls f at once and then at an interval until ctx ends.
func every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// ReadList reads the platform's VM list of all zones, which also names the peers.
func (s *Servers) ReadList(ctx context.Context) {
	if list, ok := s.read(ctx, ""); ok {
		s.onList(list)
	}
}

// ReadZone reads the list of the own zone, where most of the work goes.
func (s *Servers) ReadZone(ctx context.Context) { s.read(ctx, s.zone) }

// read reads a list, keeps it if it is newer than what is kept, and marks the servers by it.
func (s *Servers) read(ctx context.Context, zone string) (list platform.VMList, ok bool) {
	list, err := s.lister.ListVMs(ctx, zone)
	if err != nil {
		s.log.Debug().Str("event", "vm_list_failed").Str("zone", zone).Err(err).Send()
		return list, false
	}
	s.mu.Lock()
	ok = list.AsOfMs >= s.list.AsOfMs
	if ok && zone == "" {
		s.list = list
	} else if ok {
		s.list.VMs = replaceZone(s.list.VMs, zone, list.VMs)
	}
	s.mu.Unlock()
	if ok {
		s.markListed(list)
	}
	return list, ok
}

// replaceZone returns a list with the VMs of one zone replaced.
func replaceZone(all []platform.ListedVM, zone string, of []platform.ListedVM) []platform.ListedVM {
	out := make([]platform.ListedVM, 0, len(all)+len(of))
	for _, vm := range all {
		if vm.Zone != zone {
			out = append(out, vm)
		}
	}
	return append(out, of...)
}

// markListed marks the servers by a list; it is not believed about a VM whose row is newer.
func (s *Servers) markListed(list platform.VMList) {
	snap := s.replica.Snapshot()
	for _, vm := range list.VMs {
		row, ok := snap.VMs[vm.Name]
		if !ok || vm.Role != platform.RoleWorker || int64(row.Value.PhaseSinceMs) > list.AsOfMs {
			continue
		}
		s.marker.MarkList(vm.Name, vm.State != platform.VMLive)
	}
}

// List returns the last list of all zones, with newer entries for the own one.
func (s *Servers) List() platform.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// probeAll probes every server once.
func (s *Servers) probeAll(ctx context.Context) {
	snap := s.replica.Snapshot()
	sem := make(chan struct{}, probeWorkers)
	var wg sync.WaitGroup
	for _, name := range snap.VMs.Names() {
		url, ok := probeURL(snap, name)
		if !ok {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			s.note(name, s.probe(ctx, url))
		})
	}
	wg.Wait()
	s.forget(snap)
}

// probeURL returns where a VM's server reports its health.
func probeURL(snap *table.Snapshot, vm string) (url string, ok bool) {
	row := snap.VMs[vm].Value
	if row.Phase == schema.PhaseRebooting {
		return "", false
	}
	path := "/healthz"
	if svc, ok := snap.Services[snap.Pools[row.Pool].Value.Service]; ok {
		path = svc.Value.HealthPath
	}
	return "http://" + row.Address + path, true
}

// probe asks one server: 2xx is good, 503 leaving, all else bad.
func (s *Servers) probe(ctx context.Context, url string) Health {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return HealthBad
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return HealthBad
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeAnswer)
	_ = resp.Body.Close()
	switch {
	case resp.StatusCode/100 == 2:
		return HealthGood
	case resp.StatusCode == http.StatusServiceUnavailable:
		return HealthLeaving
	}
	return HealthBad
}

// note keeps a result and marks the server by it.
func (s *Servers) note(vm string, h Health) {
	s.mu.Lock()
	p, ok := s.probes[vm]
	if !ok {
		p = &probed{}
		s.probes[vm] = p
	}
	if h == HealthBad {
		p.bad++
	} else {
		p.bad = 0
	}
	before := p.health
	p.at = time.Now()
	if h != HealthBad || p.bad >= badProbes {
		p.health = h
	}
	after := p.health
	s.mu.Unlock()
	if before != after {
		s.log.Info().Str("event", "server_health").Str("vm", vm).Str("from", string(before)).Str("to", string(after)).Send()
	}
	s.marker.MarkLeaving(vm, after == HealthLeaving)
	s.marker.MarkHealth(vm, after == HealthBad)
}

// forget drops what is known of VMs that are no longer in the table.
func (s *Servers) forget(snap *table.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm := range s.probes {
		if _, ok := snap.VMs[vm]; !ok {
			delete(s.probes, vm)
		}
	}
}

// Health returns the last probe's result and when it was made.
func (s *Servers) Health(vm string) (h Health, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.probes[vm]
	if !ok {
		return HealthUnknown, time.Time{}
	}
	return p.health, p.at
}
