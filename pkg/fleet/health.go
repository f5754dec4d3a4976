package fleet

import (
	"fmt"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/schema"
)

// checkHealth marks failed VMs down and repairs those that are down or returns them to service.
func (d *decider) checkHealth() {
	for _, name := range d.names {
		vm, o := d.vm(name), d.Observed[name]
		switch {
		case vm.Phase == schema.PhaseActive && d.unhealthyFor(o, d.limits.DownAfter):
			vm.Phase = schema.PhaseDown
			d.edit(ActionDown, name, vm, "its backend server does not answer probes",
				fmt.Sprintf("probes fail since %s; the platform's list says %q", o.Since.UTC().Format(time.RFC3339), o.Listed))
		case vm.Phase == schema.PhaseDown:
			d.repair(name, vm, o)
		}
	}
}

// unhealthyFor reports whether a VM's health has been bad for at least age.
func (d *decider) unhealthyFor(o Observation, age time.Duration) bool {
	return o.Health == HealthBad && !o.Since.IsZero() && d.Now.Sub(o.Since) >= age
}

// markDown marks a VM down whose drain, reboot or check failed, and removes it from its wave.
func (d *decider) markDown(name string, vm schema.VM, reason string) {
	vm.Phase, vm.Wave = schema.PhaseDown, ""
	d.edit(ActionDown, name, vm, reason, "the VM gives no status, probes fail or it does not return")
}

// repair returns a VM to service once it is healthy, reboots it if it stays down, and eventually
// removes it from its pool, which then gets another VM.
func (d *decider) repair(name string, vm schema.VM, o Observation) {
	live := o.Status != nil && o.Status.State == platform.VMLive
	leaving := o.Status != nil && o.Status.State == platform.VMLeaving
	pending := vm.Operation != "" && (live || leaving) && o.Status.Operation != vm.Operation
	age := d.phaseAge(vm)
	switch {
	case pending && o.Status.Boot == vm.OperationBoot:
		// The reboot call may still be in flight, so the VM must not serve before it is carried out.
		vm.Phase = schema.PhaseRebooting
		d.edit(ActionReboot, name, vm, "its reboot has not been carried out yet", statusEvidence(o))
	case leaving:
		d.effect(Action{Kind: EffectUndrain, VM: name, Reason: "the VM is down in the table, where only its own word brings it back"})
	case live && o.Health == HealthGood:
		vm.Phase = schema.PhaseActive
		d.edit(ActionUp, name, vm, "its backend server answers probes again", statusEvidence(o))
	case vm.Pool != "" && age >= d.limits.ReplaceAfter:
		pool := vm.Pool
		vm.Pool = ""
		d.edit(ActionReplace, name, vm, fmt.Sprintf("down for %s: pool %q gets another VM", age.Round(time.Second), pool), statusEvidence(o))
	case live && age >= d.limits.RepairAfter && o.Status.InFlight == 0:
		// An entry that does not know that the VM is down may still send requests: reboot only
		// when none is in flight.
		vm.Phase = schema.PhaseRebooting
		vm.Operation = operationID(name, "repair", d.Table.VMs[name].Version)
		vm.OperationBoot = o.Status.Boot
		d.edit(ActionReboot, name, vm, fmt.Sprintf("down for %s: a reboot may repair it", age.Round(time.Second)), statusEvidence(o))
	}
}

// operationID returns the same ID for every process that decides on the same row version.
func operationID(vm, why string, version int) string {
	return fmt.Sprintf("%s-%s-%d", vm, why, version)
}

func statusEvidence(o Observation) string {
	if o.Status == nil {
		return "the VM gives no status"
	}
	return fmt.Sprintf("the VM says: state %s, boot %d, last operation %q, %d in flight",
		o.Status.State, o.Status.Boot, o.Status.Operation, o.Status.InFlight)
}
