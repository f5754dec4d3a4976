package checker

import (
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// fleetState is the state of the fleet by the simulated platform's table and the VMs.
type fleetState struct {
	vms                map[string]schema.VM
	pools              map[string]schema.Pool
	waves              map[string]schema.Wave
	vmByAddress        map[string]string // VM name
	poweredOff         map[string]bool
	drainingSince      map[string]time.Time      // start of draining by VM, by the table or the platform
	drainingByPlatform map[string]bool           // VMs that the platform drains
	inFlight           map[string]map[string]int // requests in flight by VM and service
	overBudget         map[string]bool           // pools that exceed their budget
	everAssigned       map[string]bool           // VMs that were once assigned to a pool
}

func newFleetState() fleetState {
	return fleetState{
		vms: map[string]schema.VM{}, pools: map[string]schema.Pool{}, waves: map[string]schema.Wave{},
		vmByAddress: map[string]string{}, poweredOff: map[string]bool{}, drainingSince: map[string]time.Time{}, drainingByPlatform: map[string]bool{},
		inFlight: map[string]map[string]int{}, overBudget: map[string]bool{}, everAssigned: map[string]bool{},
	}
}

// requestStarted counts a request and returns how long the VM had been draining by then.
func (f *fleetState) requestStarted(vm, service string, at time.Time) (afterDrain time.Duration) {
	if f.inFlight[vm] == nil {
		f.inFlight[vm] = map[string]int{}
	}
	f.inFlight[vm][service]++
	if since, ok := f.drainingSince[vm]; ok {
		return at.Sub(since)
	}
	return 0
}

func (f *fleetState) requestEnded(vm, service string) {
	if f.inFlight[vm][service]--; f.inFlight[vm][service] <= 0 {
		delete(f.inFlight[vm], service)
	}
}

func (f *fleetState) servesTwoServices(vm string) bool { return len(f.inFlight[vm]) > 1 }

func (f *fleetState) setDraining(vm string, draining bool, at time.Time) {
	f.drainingByPlatform[vm] = draining
	f.updateDraining(vm, at)
}

// updateDraining sets or clears the time since which a VM has been draining or rebooting.
func (f *fleetState) updateDraining(vm string, at time.Time) {
	draining := f.drainingByPlatform[vm] || f.vms[vm].Phase == schema.PhaseDraining || f.vms[vm].Phase == schema.PhaseRebooting
	if _, ok := f.drainingSince[vm]; draining && !ok {
		f.drainingSince[vm] = at
	}
	if !draining {
		delete(f.drainingSince, vm)
	}
}

// applyRow applies a written row and reports whether it moved a VM out of its pool.
func (f *fleetState) applyRow(key table.Key, row table.StoredRow, removed bool, at time.Time) (moved bool) {
	switch key.Kind {
	case schema.KindVM:
		old := f.vms[key.Name]
		if removed {
			delete(f.vms, key.Name)
			delete(f.vmByAddress, old.Address)
			return false
		}
		vm := table.MustParse[schema.VM](row.Value)
		f.vms[key.Name] = vm
		if f.vmByAddress[vm.Address] == "" {
			f.vmByAddress[vm.Address] = key.Name
		}
		moved = vm.Pool != old.Pool && f.everAssigned[key.Name]
		f.everAssigned[key.Name] = f.everAssigned[key.Name] || vm.Pool != ""
		if vm.Phase == schema.PhaseActive && old.Phase != schema.PhaseActive {
			f.drainingByPlatform[key.Name] = false
		}
		f.updateDraining(key.Name, at)
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

// duplicateAddress reports whether the row is a VM with the address of another VM.
func (f *fleetState) duplicateAddress(key table.Key) (vm string, ok bool) {
	if key.Kind != schema.KindVM {
		return "", false
	}
	row, exists := f.vms[key.Name]
	return key.Name, exists && f.vmByAddress[row.Address] != key.Name
}

// newlyOverBudget returns pools that exceed their budget since the last call.
func (f *fleetState) newlyOverBudget() (pools []string) {
	unavailable := map[string]int{}
	for name, vm := range f.vms {
		if vm.Pool != "" && (vm.Phase != schema.PhaseActive || f.poweredOff[name] || f.drainingByPlatform[name]) {
			unavailable[vm.Pool]++
		}
	}
	for name, pool := range f.pools {
		over := unavailable[name] > pool.MaxUnavailable
		if over && !f.overBudget[name] {
			pools = append(pools, name)
		}
		f.overBudget[name] = over
	}
	return pools
}

// bufferSize counts the VMs without a pool.
func (f *fleetState) bufferSize() (n int) {
	for _, vm := range f.vms {
		if vm.Pool == "" {
			n++
		}
	}
	return n
}

// waveStatus reports whether waves exist and all have maintained every VM, and their total duration.
func (f *fleetState) waveStatus() (done bool, seconds float64) {
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
