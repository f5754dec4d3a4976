package fleet

import (
	"fmt"
	"slices"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
)

// Progress counts the VMs of a wave.
type Progress struct {
	Total   int // VMs in the wave's scope
	Done    int // VMs maintained
	Current int // VMs out of service for the wave
	Down    int // failed VMs, which the wave does not wait for
}

// Left returns the number of VMs whose maintenance has not started.
func (p Progress) Left() int { return p.Total - p.Done - p.Current - p.Down }

// InScope reports whether a wave covers the VMs of a pool; the empty name stands for free VMs.
func InScope(w schema.Wave, pool string) bool {
	return len(w.Pools) == 0 || slices.Contains(w.Pools, pool)
}

// IsMaintained reports whether a VM needs no maintenance by a wave: this wave, or another one
// since this one started, maintained it. Without the second case, overlapping waves would
// overwrite each other's MaintainedBy and never end.
func IsMaintained(name string, w schema.Wave, vm schema.VM) bool {
	return vm.MaintainedBy == name || w.StartedAtMs > 0 && vm.MaintainedAtMs >= w.StartedAtMs
}

// ProgressOf returns the progress of a wave.
func ProgressOf(s *table.Snapshot, name string) (p Progress) {
	wave := s.Waves[name].Value
	for _, row := range s.VMs {
		vm := row.Value
		if !InScope(wave, vm.Pool) {
			continue
		}
		p.Total++
		switch {
		case vm.Wave == name:
			p.Current++
		case IsMaintained(name, wave, vm):
			p.Done++
		case vm.Phase == schema.PhaseDown:
			p.Down++
		}
	}
	return p
}

// advanceWaves starts requested waves, starts draining VMs of running waves and ends completed ones.
func (d *decider) advanceWaves() {
	for _, name := range d.Table.Waves.Names() {
		wave := d.Table.Waves[name].Value
		if wave.State != schema.WaveStateRunning {
			continue
		}
		progress := ProgressOf(d.Table, name)
		switch {
		case wave.StartedAtMs == 0:
			wave.StartedAtMs = int(d.Now.UnixMilli())
			d.editWave(name, wave, fmt.Sprintf("the wave begins: %d VMs", progress.Total), "its state is running")
		case progress.Left() == 0 && progress.Current == 0:
			wave.State = schema.WaveStateDone
			wave.FinishedAtMs = int(d.Now.UnixMilli())
			d.editWave(name, wave, "every VM has returned", fmt.Sprintf("%d maintained, %d down", progress.Done, progress.Down))
		default:
			d.startDrains(name, wave, progress)
		}
	}
}

func (d *decider) editWave(name string, wave schema.Wave, reason, evidence string) {
	if d.stepFull() {
		return
	}
	d.actions = append(d.actions, Action{
		Kind: ActionWave, Reason: reason, Evidence: evidence,
		Changes: []table.Change{change(d.Table, table.Key{Kind: schema.KindWave, Name: name}, wave)},
	})
}

// startDrains starts draining VMs as far as the pools' budgets and the wave's limit allow.
func (d *decider) startDrains(name string, wave schema.Wave, progress Progress) {
	current := progress.Current
	for _, vmName := range d.candidates(func(vm schema.VM) bool {
		return InScope(wave, vm.Pool) && !IsMaintained(name, wave, vm)
	}) {
		if wave.MaxParallel > 0 && current >= wave.MaxParallel || d.stepFull() {
			return
		}
		vm := d.vm(vmName)
		budget := d.Table.Pools[vm.Pool].Value.MaxUnavailable
		if vm.Pool != "" && d.unavailable[vm.Pool] >= budget {
			continue
		}
		evidence := "the VM is in the buffer"
		if vm.Pool != "" {
			evidence = fmt.Sprintf("pool %q has %d VMs out of service, its budget is %d", vm.Pool, d.unavailable[vm.Pool], budget)
			d.unavailable[vm.Pool]++
		}
		vm.Phase, vm.Wave = schema.PhaseDraining, name
		d.edit(ActionStartDrain, vmName, vm, "its turn in wave "+name, evidence)
		current++
	}
}
