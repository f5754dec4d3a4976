package control

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/gannetwell/gannetwell/pkg/fleet"
	"github.com/gannetwell/gannetwell/pkg/membership"
	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// maxConcurrentQueries bounds the concurrent status queries to VMs.
const maxConcurrentQueries = 16

// Servers provides the health of the backend servers and the platform's VM list; it is implemented
// by [membership.Servers].
type Servers interface {
	Health(vm string) (h membership.Health, at time.Time)
	List() platform.VMList
}

// Entries queries all entries for their requests in flight.
type Entries interface {
	InFlight(ctx context.Context, vms []string) []membership.EntryInFlight
}

// Observer collects the observations on which decisions are based.
type Observer struct {
	VMs           platform.VMs
	Servers       Servers
	Entries       Entries
	LocalInFlight func(vm string) int // requests in flight from this entry

	mu    sync.Mutex
	since map[string]healthSince
}

// healthSince is a health state and the time it was first observed.
type healthSince struct {
	health fleet.Health
	since  time.Time
}

// Observe returns observations of all VMs of a snapshot. VMs that are out of service are also
// queried for their status.
func (o *Observer) Observe(ctx context.Context, snap *table.Snapshot) map[string]fleet.Observation {
	observations := make(map[string]fleet.Observation, len(snap.VMs))
	listed := map[string]platform.VMState{}
	for _, vm := range o.Servers.List().VMs {
		listed[vm.Name] = vm.State
	}
	var draining, toQuery []string
	for name, row := range snap.VMs {
		h, at := o.Servers.Health(name)
		obs := fleet.Observation{InFlight: o.LocalInFlight(name), Listed: listed[name]}
		obs.Health, obs.Since = o.trackHealth(name, h, at, row.Value)
		observations[name] = obs
		if row.Value.Phase == schema.PhaseDraining {
			draining = append(draining, name)
		}
		if row.Value.Phase != schema.PhaseActive || h == membership.HealthLeaving {
			toQuery = append(toQuery, name)
		}
	}
	statuses := o.statuses(ctx, toQuery)
	var entries []membership.EntryInFlight
	if len(draining) > 0 {
		entries = o.Entries.InFlight(ctx, draining)
	}
	for _, name := range toQuery {
		obs := observations[name]
		obs.Status = statuses[name]
		if snap.VMs[name].Value.Phase == schema.PhaseDraining {
			obs.Entries = entryCounts(name, entries)
		}
		observations[name] = obs
	}
	return observations
}

// trackHealth converts a probe result to health and the time since when it has lasted. A server
// that is leaving has unknown health. While a VM is checked after a reboot, the time is that of the
// latest probe, so that results from before the reboot do not count.
func (o *Observer) trackHealth(name string, h membership.Health, at time.Time, vm schema.VM) (fleet.Health, time.Time) {
	health := fleet.HealthUnknown
	switch h {
	case membership.HealthGood:
		health = fleet.HealthGood
	case membership.HealthBad:
		health = fleet.HealthBad
	}
	if vm.Phase == schema.PhaseChecking {
		return health, at
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since == nil {
		o.since = map[string]healthSince{}
	}
	if o.since[name].health != health || o.since[name].since.IsZero() {
		o.since[name] = healthSince{health: health, since: at}
	}
	return health, o.since[name].since
}

func (o *Observer) statuses(ctx context.Context, names []string) map[string]*platform.VMStatus {
	var mu sync.Mutex
	out := make(map[string]*platform.VMStatus, len(names))
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for _, name := range names {
		g.Go(func() error {
			status, err := o.VMs.VMStatus(ctx, name)
			if err != nil {
				return nil // a missing status is a valid observation
			}
			mu.Lock()
			defer mu.Unlock()
			out[name] = &status
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func entryCounts(vm string, entries []membership.EntryInFlight) (counts []fleet.EntryCount) {
	for _, e := range entries {
		counts = append(counts, fleet.EntryCount{Entry: e.Entry, Reached: e.Reached, Revision: e.Revision, Count: e.Counts[vm]})
	}
	return counts
}
