package gateway

import (
	"slices"
	"strings"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// route is a row of kind route with what a request needs of it.
type route struct {
	schema.Route
	name    string
	service *service
	slots   *slots
}

// service is the servers of a service in the order of preference.
type service struct {
	name   string
	local  []*Server // in the entry's own zone
	remote []*Server
}

// view is what requests are served by; it is never changed once made.
type view struct {
	revision int
	routes   []*route // longest path first, then those with a method
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

// slots caps the requests of a route in flight; it outlives the views.
type slots struct {
	used chan struct{}
}

// makeView builds the view of a snapshot; servers and slots are kept from earlier ones.
func (g *Gateway) makeView(snap *table.Snapshot) *view {
	services := map[string]*service{}
	for _, name := range snap.Services.Names() {
		services[name] = &service{name: name}
	}
	for _, name := range snap.VMs.Names() {
		vm := snap.VMs[name].Value
		pool, ok := snap.Pools[vm.Pool]
		if !ok {
			continue
		}
		svc := services[pool.Value.Service]
		server := g.servers[name]
		if server.Zone == g.zone {
			svc.local = append(svc.local, server)
		} else {
			svc.remote = append(svc.remote, server)
		}
	}
	v := &view{revision: snap.Revision}
	for _, name := range snap.Routes.Names() {
		row := snap.Routes[name].Value
		v.routes = append(v.routes, &route{
			Route: row, name: name, service: services[row.Service], slots: g.slotsOf(name, row.MaxInFlight),
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

// slotsOf returns the slots of a route, new ones when their number has changed.
func (g *Gateway) slotsOf(name string, n int) *slots {
	s, ok := g.slots[name]
	if !ok || cap(s.used) != n {
		s = &slots{used: make(chan struct{}, n)}
		g.slots[name] = s
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
		limit := snap.Services[snap.Pools[vm.Pool].Value.Service].Value.MaxInFlight
		server.limit.Store(int64(limit))
		server.setTable(vm.Phase != schema.PhaseActive || vm.Pool == "")
	}
	for name, server := range g.servers {
		if _, ok := snap.VMs[name]; !ok {
			server.mark(SourceTable, true)
			delete(g.servers, name)
		}
	}
}
