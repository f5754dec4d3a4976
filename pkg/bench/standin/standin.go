// Package standin simulates everything around the entries of one deployment: the
// platform, over HTTP, and a backend server for each VM. The demo, the scenarios and
// gannetbench standin use it.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/bench/backend"
	"github.com/gannetwell/gannetwell/pkg/bench/checker"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/fake"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Standin is the simulated environment of one deployment.
type Standin struct {
	Name     string
	Checker  *checker.Checker
	Platform *fake.Platform
	Backends *backend.Servers
	Table    *table.Snapshot // the deployment's rows, with the addresses of the simulated backend servers
	server   *http.Server
	address  string
}

// Options configures the simulated platform and backend servers.
type Options struct {
	Listen     string        // address of the platform, host:port
	Seed       uint64        // of random faults
	Latency    time.Duration // of each platform call
	ListLag    time.Duration // age of the VM list
	RebootTime time.Duration // duration of a VM's reboot
	Slots      int           // requests that a backend server processes at once, 0 for no limit
}

// DefaultOptions returns the options of the demo.
func DefaultOptions() Options {
	return Options{
		Listen: "127.0.0.1:0", Seed: 1, Latency: time.Millisecond,
		ListLag: time.Second, RebootTime: 300 * time.Millisecond,
	}
}

// Start reads a table file and starts the environment of its deployment.
func Start(file string, o Options) (s *Standin, err error) {
	defer func() { err = errors.Wrapf(err, "start simulated environment of %s", file) }()
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	rows, err := table.ParseDocument(file, src)
	if err != nil {
		return nil, err
	}
	return New(strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), rows, o)
}

// New starts the environment of a deployment with the given rows.
func New(name string, rows []table.StoredRow, o Options) (s *Standin, err error) {
	s = &Standin{Name: name, Checker: checker.New()}
	var options []backend.Option
	if o.Slots > 0 {
		options = append(options, backend.WithSlots(o.Slots))
	}
	s.Backends = backend.NewServers(s.Checker, options...)
	s.Platform = fake.New(fake.WithSeed(o.Seed), fake.WithLatency(o.Latency), fake.WithListLag(o.ListLag),
		fake.WithRebootTime(o.RebootTime), fake.WithVMRuntime(s.Backends), fake.WithObserver(s.Checker))
	if err := s.startBackends(rows); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.listen(o.Listen); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// startBackends starts a backend server for each VM row and stores its address in the row.
func (s *Standin) startBackends(rows []table.StoredRow) error {
	snap, err := table.Load(0, rows)
	if err != nil {
		return err
	}
	for _, name := range snap.VMs.Names() {
		row := snap.VMs[name]
		if row.Value.Address, err = s.Backends.Add(name); err != nil {
			return err
		}
		snap.VMs[name] = row
		s.Platform.AddVM(platform.ListedVM{
			Name: name, Zone: snap.ZoneOf(name), Role: platform.RoleWorker, Address: row.Value.Address,
		})
	}
	s.Table = snap
	return nil
}

// Paths of the HTTP server: the platform's API by zone, and fault injection.
const (
	pathZones  = "/zones/"
	pathFaults = "/faults"
)

func (s *Standin) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(pathZones, s.serveZone)
	mux.HandleFunc("POST "+pathFaults, s.serveFaults)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

// serveZone serves the platform's API as seen from the zone in the path.
func (s *Standin) serveZone(w http.ResponseWriter, r *http.Request) {
	zone, path, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, pathZones), "/")
	if !ok || zone == "" {
		http.NotFound(w, r)
		return
	}
	zoneRequest := r.Clone(r.Context())
	zoneRequest.URL.Path = "/" + path
	rest.Handler(s.Platform.View(zone)).ServeHTTP(w, zoneRequest)
}

// serveFaults replaces the fault rules with those in the body.
func (s *Standin) serveFaults(w http.ResponseWriter, r *http.Request) {
	var rules []fake.Rule
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&rules); err != nil {
		http.Error(w, "expected a JSON array of rules: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.Platform.SetRules(rules...)
	w.WriteHeader(http.StatusNoContent)
}

// URL returns the platform's base URL for entries in a zone.
func (s *Standin) URL(zone string) string { return "http://" + s.address + pathZones + zone }

// Zones returns the deployment's zones in alphabetical order.
func (s *Standin) Zones() []string { return s.Table.Zones.Names() }

// Routes returns the deployment's routes by name.
func (s *Standin) Routes() map[string]schema.Route {
	routes := map[string]schema.Route{}
	for name, row := range s.Table.Routes {
		routes[name] = row.Value
	}
	return routes
}

// Document returns a table file with the addresses of the simulated backend servers.
func (s *Standin) Document() ([]byte, error) { return table.FormatDocument(s.Table.Stored()) }

// Close stops the platform and all backend servers.
func (s *Standin) Close() {
	if s.server != nil {
		_ = s.server.Close()
	}
	s.Backends.Close()
}
