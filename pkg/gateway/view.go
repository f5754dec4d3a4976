package gateway

import (
	"slices"
	"strings"

	"github.com/gannetwell/gannetwell/pkg/gateway/limit"
	"github.com/gannetwell/gannetwell/pkg/gateway/retry"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// route is a route of the table with its service and its state.
type route struct {
	schema.Route
	name    string
	service *service
	*routeState
}

// routeState is the state of a route that is kept across views.
type routeState struct {
	slots      chan struct{}  // one element per request in flight
	baseline   limit.Baseline // uncongested latency
	hedgeDelay *retry.Quantile
}

// service is a service of the table with its backend servers and its state.
type service struct {
	name   string
	local  []*Server // in the entry's zone
	remote []*Server
	all    []*Server
	*serviceState
}

// serviceState is the state of a service that is kept across views.
type serviceState struct {
	queue   limit.Queue
	retries *retry.Budget
	hedges  *retry.Budget
}

// Budgets for retries and hedged attempts, as fractions of the requests, and the latency
// quantile after which a request is hedged.
const (
	retryShare    = 0.08
	hedgeShare    = 0.05
	hedgeQuantile = 0.95
)

// each calls f for every server until f returns false.
func (s *service) each(f func(*Server) bool) {
	for _, server := range s.all {
		if !f(server) {
			return
		}
	}
}

// anyOpen reports whether any server is open, even if it is full.
func (s *service) anyOpen() (open bool) {
	s.each(func(server *Server) bool {
		open = server.open(true)
		return !open
	})
	return open
}

// mayEject reports whether one more server may be ejected. At most half of them are: if more
// seem to fail, the servers are probably not the cause.
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

// view is the immutable routing state that requests use.
type view struct {
	revision  int
	routes    []*route           // longest path prefix first, then those with a method
	teamRates map[string]float64 // requests per second by team
}

// match returns the route for a request, nil if there is none.
func (v *view) match(method, path string) *route {
	for _, r := range v.routes {
		if strings.HasPrefix(path, r.PathPrefix) && (r.Method == "" || r.Method == method) {
			return r
		}
	}
	return nil
}

// newView builds the view of a snapshot, reusing servers and states.
func (g *Gateway) newView(snap *table.Snapshot) *view {
	services := map[string]*service{}
	for _, name := range snap.Services.Names() {
		services[name] = &service{name: name, serviceState: g.serviceStateOf(name)}
	}
	for _, name := range snap.VMs.Names() {
		vm := snap.VMs[name].Value
		svc := services[snap.Pools[vm.Pool].Value.Service]
		if svc == nil {
			continue // no request goes there
		}
		server := g.servers[name]
		svc.all = append(svc.all, server)
		if server.Zone == g.zone {
			svc.local = append(svc.local, server)
		} else {
			svc.remote = append(svc.remote, server)
		}
	}
	v := &view{revision: snap.Revision, teamRates: map[string]float64{}}
	for name, team := range snap.Teams {
		v.teamRates[name] = team.Value.RequestsPerS
	}
	for _, name := range snap.Routes.Names() {
		row := snap.Routes[name].Value
		if services[row.Service] == nil {
			services[row.Service] = &service{name: row.Service, serviceState: g.serviceStateOf(row.Service)} // without servers
		}
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

// routeStateOf returns the state of a route; it is new if the in-flight limit n has changed.
func (g *Gateway) routeStateOf(name string, n int) *routeState {
	n = max(n, 0)
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

// updateServers adds, updates and closes servers according to a snapshot. It runs before the
// view is published, so that a draining server is closed before the entry reports the revision.
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
