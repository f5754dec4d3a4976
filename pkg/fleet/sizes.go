package fleet

import (
	"fmt"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// sizes brings pools to their size from the buffer and back to it.
func (d *decider) sizes() {
	for _, pool := range d.Table.Pools.Names() {
		row := d.Table.Pools[pool].Value
		for d.size[pool] < row.Size {
			name, ok := d.bestFree(pool)
			if !ok {
				break
			}
			vm := d.vm(name)
			vm.Pool = pool
			d.edit(ActionAssign, name, vm, fmt.Sprintf("pool %q has %d of %d VMs", pool, d.size[pool], row.Size),
				fmt.Sprintf("the VM is free and healthy; of the pool's VMs %d are in its zone %q", d.inZone(pool, name), d.Table.ZoneOf(name)))
			if !d.touched[name] {
				return // the step is full
			}
			d.size[pool]++
			d.occupy(pool, name)
		}
		if d.size[pool] > row.Size && d.unavailable[pool] < row.MaxUnavailable {
			d.release(pool)
		}
	}
}

// bestFree returns the free VM that spreads a pool best over zones and racks.
func (d *decider) bestFree(pool string) (best string, ok bool) {
	type rank struct{ zone, rack int }
	var bestRank rank
	for _, name := range d.names {
		vm := d.vm(name)
		if vm.Pool != "" || vm.Phase != schema.PhaseActive || d.touched[name] || d.Observed[name].Health == HealthBad {
			continue
		}
		r := rank{zone: d.inZone(pool, name), rack: d.racks[place{pool, vm.Rack}]}
		if !ok || r.zone < bestRank.zone || r.zone == bestRank.zone && r.rack < bestRank.rack {
			best, bestRank, ok = name, r, true
		}
	}
	return best, ok
}

// place is a failure domain as a pool uses it.
type place struct{ pool, domain string }

// inZone counts the pool's VMs in the zone of a VM.
func (d *decider) inZone(pool, name string) int { return d.zones[place{pool, d.Table.ZoneOf(name)}] }

// occupy counts a VM for the failure domains that it is in.
func (d *decider) occupy(pool, name string) {
	d.zones[place{pool, d.Table.ZoneOf(name)}]++
	d.racks[place{pool, d.vm(name).Rack}]++
}

// release drains the idlest VM of a pool that is too large.
func (d *decider) release(pool string) {
	candidates := d.candidates(func(vm schema.VM) bool { return vm.Pool == pool })
	if len(candidates) == 0 {
		return
	}
	name := candidates[0]
	vm := d.vm(name)
	vm.Phase = schema.PhaseDraining
	d.edit(ActionGrant, name, vm, fmt.Sprintf("pool %q has %d VMs, its size is %d", pool, d.size[pool], d.Table.Pools[pool].Value.Size),
		fmt.Sprintf("%d of its VMs are out of service, the budget is %d", d.unavailable[pool], d.Table.Pools[pool].Value.MaxUnavailable))
	d.unavailable[pool]++
}

// candidates returns healthy active VMs that match, the idlest first, so that long requests get time to run out.
func (d *decider) candidates(match func(schema.VM) bool) (names []string) {
	for _, name := range d.names {
		vm := d.vm(name)
		if vm.Phase == schema.PhaseActive && !d.touched[name] && d.Observed[name].Health == HealthGood && match(vm) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return d.Observed[a].InFlight - d.Observed[b].InFlight })
	return names
}
