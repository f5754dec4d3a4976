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

// Health is the result of a health probe.
type Health string

// The states of a backend server.
const (
	HealthUnknown Health = "" // not probed yet
	HealthGood    Health = "good"
	HealthLeaving Health = "leaving" // the server reports that it accepts no new requests
	HealthBad     Health = "bad"
)

// Marker takes backend servers out of rotation (closes them) and back in, separately for each
// source: the VM list, the server's own report and failed probes.
type Marker interface {
	MarkList(vm string, closed bool)
	MarkLeaving(vm string, closed bool)
	MarkHealth(vm string, closed bool)
}

const (
	probeTimeout = 500 * time.Millisecond
	maxProbeBody = 4 << 10
	// unhealthyThreshold is the number of consecutive failed probes that close a server.
	unhealthyThreshold = 2
	// fullListFactor is how many times less often the list of all zones is read than that of the
	// entry's own zone.
	fullListFactor = 10
	// maxConcurrentProbes bounds the probes that run at the same time.
	maxConcurrentProbes = 32
)

// Servers tracks the health of the backend servers.
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
	probes map[string]*probeState // by VM
	list   platform.VMList
}

// probeState holds the result of a server's last probes.
type probeState struct {
	health   Health
	failures int // consecutive
	at       time.Time
}

// ServersOption configures [Servers].
type ServersOption func(*Servers)

// WithProbeInterval sets the time between two probes of a server and between two reads of the
// entry's own zone.
func WithProbeInterval(d time.Duration) ServersOption { return func(s *Servers) { s.interval = d } }

// WithServersLogger sets the logger.
func WithServersLogger(l zerolog.Logger) ServersOption { return func(s *Servers) { s.log = l } }

// WithProbeDial sets the function that opens the probes' connections.
func WithProbeDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) ServersOption {
	return func(s *Servers) {
		s.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DialContext: f}
	}
}

// WithOnList sets a callback for each list of all zones.
func WithOnList(f func(platform.VMList)) ServersOption { return func(s *Servers) { s.onList = f } }

// NewServers returns the servers as seen by an entry in a zone; m is called after each probe and
// list.
func NewServers(zone string, r *replica.Replica, lister platform.Lister, m Marker, opts ...ServersOption) *Servers {
	s := &Servers{
		replica: r, lister: lister, marker: m, zone: zone,
		interval: time.Second, log: zerolog.Nop(),
		onList: func(platform.VMList) {},
		probes: map[string]*probeState{},
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

// Run probes the servers and reads the VM lists until ctx ends.
func (s *Servers) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer s.client.CloseIdleConnections()
	wg.Go(func() { runEvery(ctx, s.interval, s.ReadZone) })
	wg.Go(func() { runEvery(ctx, fullListFactor*s.interval, s.ReadList) })
	runEvery(ctx, s.interval, s.probeAll)
	return nil
}

// runEvery calls f at once and then at an interval until ctx ends.
func runEvery(ctx context.Context, d time.Duration, f func(context.Context)) {
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

// ReadList reads the VM list of all zones, which also names the peers.
func (s *Servers) ReadList(ctx context.Context) {
	if list, ok := s.fetchList(ctx, ""); ok {
		s.onList(list)
	}
}

// ReadZone reads the VM list of the entry's own zone, which serves most of its requests.
func (s *Servers) ReadZone(ctx context.Context) { s.fetchList(ctx, s.zone) }

// maxListAhead is by how much the clock of a VM list may be ahead of ours.
const maxListAhead = time.Minute

// fetchList reads the VM list of a zone, empty for all, and applies it unless a newer one is known.
func (s *Servers) fetchList(ctx context.Context, zone string) (list platform.VMList, ok bool) {
	list, err := s.lister.ListVMs(ctx, zone)
	if err != nil {
		s.log.Debug().Str("event", "vm_list_failed").Str("zone", zone).Err(err).Send()
		return list, false
	}
	if latest := time.Now().Add(maxListAhead).UnixMilli(); list.AsOfMs > latest {
		s.log.Warn().Str("event", "vm_list_of_the_future").Str("zone", zone).Int64("as_of_ms", list.AsOfMs).Send()
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
		s.applyList(list)
	}
	return list, ok
}

// replaceZone returns a copy of a list with the VMs of one zone replaced.
func replaceZone(all []platform.ListedVM, zone string, of []platform.ListedVM) []platform.ListedVM {
	out := make([]platform.ListedVM, 0, len(all)+len(of))
	for _, vm := range all {
		if vm.Zone != zone {
			out = append(out, vm)
		}
	}
	return append(out, of...)
}

// applyList marks the backend servers by a VM list, except those whose row in the table is newer.
func (s *Servers) applyList(list platform.VMList) {
	snap := s.replica.Snapshot()
	for _, vm := range list.VMs {
		row, ok := snap.VMs[vm.Name]
		if !ok || vm.Role != platform.RoleWorker || int64(row.Value.PhaseSinceMs) > list.AsOfMs {
			continue
		}
		s.marker.MarkList(vm.Name, vm.State != platform.VMLive)
	}
}

// List returns the latest list of all zones, updated by newer lists of the entry's own zone.
func (s *Servers) List() platform.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

func (s *Servers) probeAll(ctx context.Context) {
	snap := s.replica.Snapshot()
	sem := make(chan struct{}, maxConcurrentProbes)
	var wg sync.WaitGroup
	for _, name := range snap.VMs.Names() {
		url, ok := probeURL(snap, name)
		if !ok {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			s.recordProbe(name, s.probe(ctx, url))
		})
	}
	wg.Wait()
	s.pruneProbes(snap)
}

// probeURL returns the health URL of a VM's backend server; ok is false while the VM reboots.
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

// probe probes one server: 2xx is good, 503 leaving, everything else bad.
func (s *Servers) probe(ctx context.Context, url string) Health {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return HealthBad
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return HealthBad
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBody)
	_ = resp.Body.Close()
	switch {
	case resp.StatusCode/100 == 2:
		return HealthGood
	case resp.StatusCode == http.StatusServiceUnavailable:
		return HealthLeaving
	}
	return HealthBad
}

// recordProbe stores the result of a probe and marks the server by it.
func (s *Servers) recordProbe(vm string, h Health) {
	s.mu.Lock()
	p, ok := s.probes[vm]
	if !ok {
		p = &probeState{}
		s.probes[vm] = p
	}
	if h == HealthBad {
		p.failures++
	} else {
		p.failures = 0
	}
	before := p.health
	p.at = time.Now()
	if h != HealthBad || p.failures >= unhealthyThreshold {
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

// pruneProbes drops the probe results of VMs that are no longer in the table.
func (s *Servers) pruneProbes(snap *table.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm := range s.probes {
		if _, ok := snap.VMs[vm]; !ok {
			delete(s.probes, vm)
		}
	}
}

// Health returns the result of the last probe and when it was made.
func (s *Servers) Health(vm string) (h Health, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.probes[vm]
	if !ok {
		return HealthUnknown, time.Time{}
	}
	return p.health, p.at
}
