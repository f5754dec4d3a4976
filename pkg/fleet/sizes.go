package fleet

import (
	"fmt"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// resizePools assigns free VMs to pools that are too small and drains VMs of pools that are too
// large.
func (d *decider) resizePools() {
	for _, pool := range d.Table.Pools.Names() {
		row := d.Table.Pools[pool].Value
		for d.size[pool] < row.Size {
			name, ok := d.bestFreeVM(pool)
			if !ok {
				break
			}
			vm := d.vm(name)
			vm.Pool = pool
			d.edit(ActionAssign, name, vm, fmt.Sprintf("pool %q has %d of %d VMs", pool, d.size[pool], row.Size),
				fmt.Sprintf("the VM is free and healthy; of the pool's VMs %d are in its zone %q", d.inZone(pool, name), d.Table.ZoneOf(name)))
			if !d.edited[name] {
				return // too many actions in this step
			}
			d.size[pool]++
			d.countDomains(pool, name)
		}
		if d.size[pool] > row.Size && d.unavailable[pool] < row.MaxUnavailable {
			d.drainSurplusVM(pool)
		}
	}
}

// bestFreeVM returns the free VM that spreads a pool best over zones and racks.
func (d *decider) bestFreeVM(pool string) (best string, ok bool) {
	type rank struct{ zone, rack int }
	var bestRank rank
	for _, name := range d.names {
		vm := d.vm(name)
		if vm.Pool != "" || vm.Phase != schema.PhaseActive || d.edited[name] || d.Observed[name].Health == HealthBad {
			continue
		}
		r := rank{zone: d.inZone(pool, name), rack: d.racks[domain{pool, vm.Rack}]}
		if !ok || r.zone < bestRank.zone || r.zone == bestRank.zone && r.rack < bestRank.rack {
			best, bestRank, ok = name, r, true
		}
	}
	return best, ok
}

// domain is a failure domain, a zone or a rack, as used by a pool.
type domain struct{ pool, name string }

// inZone returns the number of the pool's VMs in the zone of a VM.
func (d *decider) inZone(pool, name string) int { return d.zones[domain{pool, d.Table.ZoneOf(name)}] }

// countDomains counts a VM in its failure domains.
func (d *decider) countDomains(pool, name string) {
	d.zones[domain{pool, d.Table.ZoneOf(name)}]++
	d.racks[domain{pool, d.vm(name).Rack}]++
}

// drainSurplusVM drains the VM with the fewest requests in flight of a pool that is too large.
func (d *decider) drainSurplusVM(pool string) {
	candidates := d.candidates(func(vm schema.VM) bool { return vm.Pool == pool })
	if len(candidates) == 0 {
		return
	}
	name := candidates[0]
	vm := d.vm(name)
	vm.Phase = schema.PhaseDraining
	d.edit(ActionStartDrain, name, vm, fmt.Sprintf("pool %q has %d VMs, its size is %d", pool, d.size[pool], d.Table.Pools[pool].Value.Size),
		fmt.Sprintf("%d of its VMs are out of service, the budget is %d", d.unavailable[pool], d.Table.Pools[pool].Value.MaxUnavailable))
	d.unavailable[pool]++
}

// candidates returns the healthy active VMs that match, those with the fewest requests in flight
// first, so that long requests can finish.
func (d *decider) candidates(match func(schema.VM) bool) (names []string) {
	for _, name := range d.names {
		vm := d.vm(name)
		if vm.Phase == schema.PhaseActive && !d.edited[name] && d.Observed[name].Health == HealthGood && match(vm) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return d.Observed[a].InFlight - d.Observed[b].InFlight })
	return names
}
