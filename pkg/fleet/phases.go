package fleet

import (
	"fmt"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// phaseAge returns how long a VM has been in its phase.
func (d *decider) phaseAge(vm schema.VM) time.Duration {
	return d.Now.Sub(time.UnixMilli(int64(vm.PhaseSinceMs)))
}

// advancePhases advances VMs that are out of service for maintenance or release.
func (d *decider) advancePhases() {
	for _, name := range d.names {
		vm, o := d.vm(name), d.Observed[name]
		switch vm.Phase {
		case schema.PhaseDraining:
			d.advanceDraining(name, vm, o)
		case schema.PhaseRebooting:
			d.advanceRebooting(name, vm, o)
		case schema.PhaseChecking:
			d.advanceChecking(name, vm, o)
		case schema.PhaseActive:
			if o.Status != nil && o.Status.State == platform.VMLeaving {
				d.effect(Action{Kind: EffectUndrain, VM: name, Reason: "the VM is active in the table"})
			}
		}
	}
}

// drainWanted reports whether a draining VM's wave still runs, or, without a wave, whether its
// pool is still too large.
func (d *decider) drainWanted(vm schema.VM) bool {
	if vm.Wave == "" {
		return d.size[vm.Pool] > d.Table.Pools[vm.Pool].Value.Size
	}
	return d.Table.Waves[vm.Wave].Value.State == schema.WaveStateRunning
}

func (d *decider) advanceDraining(name string, vm schema.VM, o Observation) {
	if !d.drainWanted(vm) {
		evidence := fmt.Sprintf("wave %q is %s", vm.Wave, d.Table.Waves[vm.Wave].Value.State)
		vm.Phase, vm.Wave = schema.PhaseActive, ""
		d.edit(ActionCancelDrain, name, vm, "the drain is no longer wanted", evidence)
		return
	}
	if o.Status == nil && d.unhealthyFor(o, d.limits.RepairAfter) {
		d.markDown(name, vm, "it failed while it drained")
		return
	}
	if blocker := DrainBlocker(d.Table.VMs[name].Version, o); blocker != "" {
		if o.Status != nil && o.Status.State == platform.VMLive {
			d.effect(Action{Kind: EffectDrain, VM: name, Boot: o.Status.Boot, Reason: blocker})
		}
		return
	}
	evidence := fmt.Sprintf("%d entries say that nothing is in flight; %s", len(o.Entries), statusEvidence(o))
	if vm.Wave == "" {
		vm.Phase, vm.Pool = schema.PhaseActive, ""
		d.edit(ActionRelease, name, vm, "its pool has more VMs than its size", evidence)
		return
	}
	vm.Phase = schema.PhaseRebooting
	vm.Operation = operationID(name, vm.Wave, d.Table.VMs[name].Version)
	vm.OperationBoot = o.Status.Boot
	d.edit(ActionReboot, name, vm, "drained in wave "+vm.Wave, evidence)
}

// DrainBlocker describes what a draining VM waits for, or returns "" if certainly no request is in
// flight to it. version is that of the row that set the VM draining.
func DrainBlocker(version int, o Observation) string {
	if len(o.Entries) == 0 {
		return "no entry has been asked yet"
	}
	for _, e := range o.Entries {
		switch {
		case !e.Reached:
			return fmt.Sprintf("entry %s cannot be reached and may have requests in flight", e.Entry)
		case e.Revision < version:
			return fmt.Sprintf("entry %s has revision %d in force, the drain began at %d", e.Entry, e.Revision, version)
		case e.Count > 0:
			return fmt.Sprintf("entry %s has %d requests in flight", e.Entry, e.Count)
		}
	}
	switch {
	case o.Status == nil:
		return "the VM gives no status"
	case o.Status.State == platform.VMLive:
		return "the VM does not know yet that it is leaving"
	case o.Status.InFlight > 0:
		return fmt.Sprintf("the VM has %d requests in flight", o.Status.InFlight)
	}
	return ""
}

func (d *decider) advanceRebooting(name string, vm schema.VM, o Observation) {
	if d.phaseAge(vm) >= d.limits.ReplaceAfter {
		d.markDown(name, vm, "it did not return from its reboot")
		return
	}
	if o.Status == nil {
		return
	}
	if o.Status.Operation != vm.Operation && o.Status.Boot != vm.OperationBoot {
		d.markDown(name, vm, "it booted by itself before the operation")
		return
	}
	if o.Status.Operation != vm.Operation {
		d.effect(Action{
			Kind: EffectReboot, VM: name, Operation: vm.Operation, Boot: vm.OperationBoot,
			Reason: "the VM has not carried out the operation",
		})
		return
	}
	if o.Status.State != platform.VMLive {
		return
	}
	vm.Phase = schema.PhaseChecking
	d.edit(ActionCheck, name, vm, "the VM is back from its reboot", statusEvidence(o))
}

func (d *decider) advanceChecking(name string, vm schema.VM, o Observation) {
	if d.phaseAge(vm) >= d.limits.ReplaceAfter {
		d.markDown(name, vm, "its backend server does not answer probes after the reboot")
		return
	}
	live := o.Status != nil && o.Status.State == platform.VMLive
	fresh := !o.Since.IsZero() && o.Since.UnixMilli() >= int64(vm.PhaseSinceMs)
	if !live || o.Health != HealthGood || !fresh {
		return
	}
	reason := "repaired: its backend server answers probes"
	if vm.Wave != "" {
		reason = fmt.Sprintf("maintained in wave %s: its backend server answers probes", vm.Wave)
		vm.MaintainedBy = vm.Wave
		vm.MaintainedAtMs = int(d.Now.UnixMilli())
	}
	vm.Phase, vm.Wave = schema.PhaseActive, ""
	d.edit(ActionReturn, name, vm, reason, statusEvidence(o))
}
