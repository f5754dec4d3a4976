package checker

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// fleetState is what the stand-in's table and the VMs themselves say.
type fleetState struct {
	vms      map[string]schema.VM
	pools    map[string]schema.Pool
	waves    map[string]schema.Wave
	address  map[string]string // VM by address
	off      map[string]bool
	left     map[string]time.Time      // since when a VM is leaving, by the table or its own word
	told     map[string]bool           // leaving by the platform's word
	serving  map[string]map[string]int // requests in flight by VM and service
	over     map[string]bool           // pools over their budget
	assigned map[string]bool           // VMs that have had a pool
}

func newFleetState() fleetState {
	return fleetState{
		vms: map[string]schema.VM{}, pools: map[string]schema.Pool{}, waves: map[string]schema.Wave{},
		address: map[string]string{}, off: map[string]bool{}, left: map[string]time.Time{}, told: map[string]bool{},
		serving: map[string]map[string]int{}, over: map[string]bool{}, assigned: map[string]bool{},
	}
}

// began counts a request and returns for how long the VM had been leaving.
func (f *fleetState) began(vm, service string, at time.Time) (late time.Duration) {
	if f.serving[vm] == nil {
		f.serving[vm] = map[string]int{}
	}
	f.serving[vm][service]++
	if since, ok := f.left[vm]; ok {
		return at.Sub(since)
	}
	return 0
}

func (f *fleetState) ended(vm, service string) {
	if f.serving[vm][service]--; f.serving[vm][service] <= 0 {
		delete(f.serving[vm], service)
	}
}

func (f *fleetState) servesTwo(vm string) bool { return len(f.serving[vm]) > 1 }

func (f *fleetState) leaving(vm string, leaving bool, at time.Time) {
	f.told[vm] = leaving
	f.mark(vm, at)
}

// mark keeps since when a VM is leaving by any word.
func (f *fleetState) mark(vm string, at time.Time) {
	leaving := f.told[vm] || f.vms[vm].Phase == schema.PhaseDraining || f.vms[vm].Phase == schema.PhaseRebooting
	if _, ok := f.left[vm]; leaving && !ok {
		f.left[vm] = at
	}
	if !leaving {
		delete(f.left, vm)
	}
}

// wrote takes over a row and tells whether a VM that served a pool changed its place.
func (f *fleetState) wrote(key table.Key, row table.StoredRow, removed bool, at time.Time) (moved bool) {
	switch key.Kind {
	case schema.KindVM:
		old := f.vms[key.Name]
		if removed {
			delete(f.vms, key.Name)
			delete(f.address, old.Address)
			return false
		}
		vm := table.MustParse[schema.VM](row.Value)
		f.vms[key.Name] = vm
		if f.address[vm.Address] == "" {
			f.address[vm.Address] = key.Name
		}
		moved = vm.Pool != old.Pool && f.assigned[key.Name]
		f.assigned[key.Name] = f.assigned[key.Name] || vm.Pool != ""
		if vm.Phase == schema.PhaseActive && old.Phase != schema.PhaseActive {
			f.told[key.Name] = false
		}
		f.mark(key.Name, at)
	case schema.KindPool:
		if removed {
			delete(f.pools, key.Name)
			return false
		}
		f.pools[key.Name] = table.MustParse[schema.Pool](row.Value)
	case schema.KindWave:
		if !removed {
			f.waves[key.Name] = table.MustParse[schema.Wave](row.Value)
		}
	}
	return moved
}

// twice tells whether a VM row has the address of another VM.
func (f *fleetState) twice(key table.Key) (vm string, ok bool) {
	if key.Kind != schema.KindVM {
		return "", false
	}
	row, exists := f.vms[key.Name]
	return key.Name, exists && f.address[row.Address] != key.Name
}

// newlyOver returns pools that are over their budget and were not before.
func (f *fleetState) newlyOver() (pools []string) {
	out := map[string]int{}
	for name, vm := range f.vms {
		if vm.Pool != "" && (vm.Phase != schema.PhaseActive || f.off[name] || f.told[name]) {
			out[vm.Pool]++
		}
	}
	for name, pool := range f.pools {
		over := out[name] > pool.MaxUnavailable
		if over && !f.over[name] {
			pools = append(pools, name)
		}
		f.over[name] = over
	}
	return pools
}

// buffer counts the VMs that no pool has.
func (f *fleetState) buffer() (n int) {
	for _, vm := range f.vms {
		if vm.Pool == "" {
			n++
		}
	}
	return n
}

// wave tells whether there is a wave and all are done with every VM maintained, and how long they took.
func (f *fleetState) wave() (done bool, seconds float64) {
	for name, w := range f.waves {
		if w.State != schema.WaveStateDone {
			return false, 0
		}
		for _, vm := range f.vms {
			if vm.MaintainedBy != name {
				return false, 0
			}
		}
		done = true
		seconds += float64(w.FinishedAtMs-w.StartedAtMs) / 1000
	}
	return done, seconds
}
