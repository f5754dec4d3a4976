package gateway

import (
	"slices"
	"strings"

	"github.com/gannetwell/gannetwell/pkg/gateway/limit"
	"github.com/gannetwell/gannetwell/pkg/gateway/retry"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// route is a row of kind route with what a request needs of it.
type route struct {
	schema.Route
	name    string
	service *service
	*routeState
}

// routeState is what a route learns; it outlives the views.
type routeState struct {
	slots      chan struct{}  // caps the requests in flight
	baseline   limit.Baseline // undisturbed latency
	hedgeDelay *retry.Quantile
}

// service is the servers of a service in the order of preference.
type service struct {
	name   string
	local  []*Server // in the entry's own zone
	remote []*Server
	all    []*Server
	*serviceState
}

// serviceState is what a service's requests share; it outlives the views.
type serviceState struct {
	queue   limit.Queue
	retries *retry.Budget
	hedges  *retry.Budget
}

// The shares of the traffic that may be second attempts.
const (
	retryShare    = 0.08
	hedgeShare    = 0.05
	hedgeQuantile = 0.95
)

// each calls f with every server until it returns false.
func (s *service) each(f func(*Server) bool) {
	for _, server := range s.all {
		if !f(server) {
			return
		}
	}
}

// anyOpen tells whether some server takes work, now or when it has room.
func (s *service) anyOpen() (open bool) {
	s.each(func(server *Server) bool {
		open = server.open(true)
		return !open
	})
	return open
}

// mayEject tells whether less than half of the servers are left alone already:
// when more seem to fail, the fault is more likely not theirs.
func (s *service) mayEject() bool {
	ejected, all := 0, 0
	s.each(func(server *Server) bool {
		all++
		if server.ejected() {
			ejected++
		}
		return true
	})
	return 2*(ejected+1) <= all
}

// view is what requests are served by; it is never changed once made.
type view struct {
	revision int
	routes   []*route           // longest path first, then those with a method
	teams    map[string]float64 // requests a second by team
}

// match returns the route of a request, nil when there is none.
func (v *view) match(method, path string) *route {
	for _, r := range v.routes {
		if strings.HasPrefix(path, r.PathPrefix) && (r.Method == "" || r.Method == method) {
			return r
		}
	}
	return nil
}

// newView builds the view of a snapshot; servers and slots are kept from earlier ones.
func (g *Gateway) newView(snap *table.Snapshot) *view {
	services := map[string]*service{}
	for _, name := range snap.Services.Names() {
		services[name] = &service{name: name, serviceState: g.serviceStateOf(name)}
	}
	for _, name := range snap.VMs.Names() {
		vm := snap.VMs[name].Value
		pool, ok := snap.Pools[vm.Pool]
		if !ok {
			continue
		}
		svc := services[pool.Value.Service]
		server := g.servers[name]
		svc.all = append(svc.all, server)
		if server.Zone == g.zone {
			svc.local = append(svc.local, server)
		} else {
			svc.remote = append(svc.remote, server)
		}
	}
	v := &view{revision: snap.Revision, teams: map[string]float64{}}
	for name, team := range snap.Teams {
		v.teams[name] = team.Value.RequestsPerS
	}
	for _, name := range snap.Routes.Names() {
		row := snap.Routes[name].Value
		v.routes = append(v.routes, &route{
			Route: row, name: name, service: services[row.Service], routeState: g.routeStateOf(name, row.MaxInFlight),
		})
	}
	slices.SortStableFunc(v.routes, func(a, b *route) int {
		if d := len(b.PathPrefix) - len(a.PathPrefix); d != 0 {
			return d
		}
		return len(b.Method) - len(a.Method)
	})
	return v
}

// routeStateOf returns what a route has learnt; its slots are new when their number has changed.
func (g *Gateway) routeStateOf(name string, n int) *routeState {
	s, ok := g.routes[name]
	if !ok || cap(s.slots) != n {
		s = &routeState{slots: make(chan struct{}, n), hedgeDelay: retry.NewQuantile(hedgeQuantile)}
		g.routes[name] = s
	}
	return s
}

func (g *Gateway) serviceStateOf(name string) *serviceState {
	s, ok := g.services[name]
	if !ok {
		s = &serviceState{retries: retry.NewBudget(retryShare), hedges: retry.NewBudget(hedgeShare)}
		g.services[name] = s
	}
	return s
}

// updateServers brings the set of servers and their table marks to a snapshot.
//
// Marks are set before the view is published, so that a server which drains is
// closed before the entry says that it holds the revision.
func (g *Gateway) updateServers(snap *table.Snapshot) {
	for name, row := range snap.VMs {
		vm := row.Value
		server, ok := g.servers[name]
		if !ok || server.Address != vm.Address {
			server = g.newServer(name, snap.ZoneOf(name), vm.Address)
			g.servers[name] = server
		}
		server.maxInFlight.Store(int64(snap.Services[snap.Pools[vm.Pool].Value.Service].Value.MaxInFlight))
		server.setTable(vm.Phase != schema.PhaseActive || vm.Pool == "")
	}
	for name, server := range g.servers {
		if _, ok := snap.VMs[name]; !ok {
			server.setClosed(SourceTable, true)
			delete(g.servers, name)
		}
	}
}
