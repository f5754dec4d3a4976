package scenario

import (
	"fmt"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// The deployment of all scenarios: three zones, a service whose classes compete for
// the same servers, and a service for live exchanges.
const (
	zones          = 3
	serversPerZone = 2
	roomsPerZone   = 1
	slotsPerServer = 4      // requests processed at once
	workUs         = 20_000 // processing time of a request
	// capacityRPS is the total throughput of the service's servers, in requests per second.
	capacityRPS = zones * serversPerZone * slotsPerServer * 1_000_000 / workUs
)

const (
	serviceWork  = "work"
	serviceRooms = "rooms"
)

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i+1) }

// routes holds one route for each class, and one whose requests must not be repeated.
var routes = map[string]schema.Route{
	"live":        {PathPrefix: "/live", Service: serviceRooms, Class: schema.ClassLive, Repeat: schema.RepeatSafe, DeadlineMs: 2000, MaxInFlight: 4096},
	"interactive": {Method: "GET", PathPrefix: "/interactive", Service: serviceWork, Class: schema.ClassInteractive, Repeat: schema.RepeatSafe, DeadlineMs: 2000, MaxBodyBytes: 1 << 20, MaxInFlight: 4096},
	"file":        {Method: "POST", PathPrefix: "/file", Service: serviceWork, Class: schema.ClassInteractive, Repeat: schema.RepeatOnce, DeadlineMs: 2000, MaxBodyBytes: 1 << 20, MaxInFlight: 4096},
	"clerk":       {Method: "GET", PathPrefix: "/clerk", Service: serviceWork, Class: schema.ClassClerk, Repeat: schema.RepeatSafe, DeadlineMs: 4000, MaxBodyBytes: 1 << 20, MaxInFlight: 4096},
	"batch":       {Method: "POST", PathPrefix: "/batch", Service: serviceWork, Class: schema.ClassBatch, Repeat: schema.RepeatSafe, DeadlineMs: 10000, MaxBodyBytes: 1 << 20, MaxInFlight: 4096},
}

// loadShares holds the fraction of the service's load that each route has.
var loadShares = map[string]float64{"interactive": 0.2, "file": 0.05, "clerk": 0.25, "batch": 0.5}

// tableRows returns the rows of the deployment's table.
func tableRows() (out []table.StoredRow) {
	add := func(kind schema.Kind, name string, v any) {
		out = append(out, table.StoredRow{Key: table.Key{Kind: kind, Name: name}, Value: table.MustValue(v)})
	}
	add(schema.KindWeights, table.FleetWeights, schema.Weights{BufferCost: 1, RollOutTime: 1, Moves: 1})
	for _, service := range []string{serviceWork, serviceRooms} {
		perZone := serversPerZone
		if service == serviceRooms {
			perZone = roomsPerZone
		}
		add(schema.KindService, service, schema.Service{HealthPath: "/healthz", MaxInFlight: 1024})
		add(schema.KindPool, service, schema.Pool{Service: service, Size: zones * perZone, MaxUnavailable: 1})
		for z := range zones {
			for i := range perZone {
				name := fmt.Sprintf("%s-%d-%d", service, z+1, i+1)
				add(schema.KindRack, name, schema.Rack{Zone: zoneName(z)})
				add(schema.KindVM, name, schema.VM{Rack: name, Address: name + ":1", Pool: service, Phase: schema.PhaseActive})
			}
		}
	}
	for z := range zones {
		add(schema.KindZone, zoneName(z), schema.Zone{Region: "r"})
	}
	for name, row := range routes {
		add(schema.KindRoute, name, row)
	}
	return out
}
