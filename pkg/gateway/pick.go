package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// tryAcquireServer acquires a server that has not been tried yet; the caller must release it.
func (x *exchange) tryAcquireServer() (server *Server, ok bool) {
	svc := x.route.service
	for _, lenient := range []bool{false, true} {
		for range maxAttempts {
			server, ok = x.chooseServer(svc, lenient)
			if !ok {
				break
			}
			if server.tryAcquire(x.route.Class, lenient) {
				return server, true
			}
		}
	}
	return nil, false
}

// crossZoneCost is added to the cost of servers in other zones, in nanoseconds.
const crossZoneCost = float64(time.Millisecond)

// chooseServer chooses a server by the policy. A server in another zone is chosen only if it is
// cheaper by more than crossZoneCost. If lenient is true, advisory sources are ignored.
func (x *exchange) chooseServer(svc *service, lenient bool) (server *Server, ok bool) {
	skip := func(s *Server) bool { return x.wasTried(s) || !s.hasCapacity(x.route.Class) }
	if lenient {
		return x.chooseLenient(svc)
	}
	if room := x.r.Header.Get(HeaderRoom); room != "" {
		return x.chooseSticky(svc, room)
	}
	if x.g.settings.Policy == schema.GatewaySettingsPolicyRoundRobin {
		return x.g.policy.Pick(svc.all, skip) // round robin ignores zones and costs
	}
	local, okLocal := x.g.policy.Pick(svc.local, skip)
	remote, okRemote := x.g.policy.Pick(svc.remote, skip)
	switch {
	case okLocal && okRemote && remote.Cost()+crossZoneCost < local.Cost():
		return remote, true
	case okLocal:
		return local, true
	}
	return remote, okRemote
}

// chooseSticky chooses the server for a room by rendezvous hashing (Thaler and Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", 1998). All entries choose the same server,
// and a server that is removed moves only its own rooms.
func (x *exchange) chooseSticky(svc *service, room string) (server *Server, ok bool) {
	var best uint64
	for _, s := range svc.all {
		if !s.Usable() || x.wasTried(s) || !s.hasCapacity(x.route.Class) {
			continue
		}
		if h := xxhash.Sum64String(room + "\x00" + s.Name); !ok || h > best {
			server, best, ok = s, h, true
		}
	}
	return server, ok
}

// chooseLenient returns any untried server that is open but for advisory sources. If those
// close every server of a service, they are probably wrong.
func (x *exchange) chooseLenient(svc *service) (server *Server, ok bool) {
	for _, servers := range [][]*Server{svc.local, svc.remote} {
		start := 0
		if len(servers) > 0 {
			start = int(x.start.UnixNano()) % len(servers)
		}
		for i := range servers {
			if s := servers[(start+i)%len(servers)]; s.usable(true) && !x.wasTried(s) {
				return s, true
			}
		}
	}
	return nil, false
}

func (x *exchange) wasTried(s *Server) bool {
	for _, t := range x.tried {
		if t == s {
			return true
		}
	}
	return false
}
