package fake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gannetwell/gannetwell/pkg/platform"
	"github.com/gannetwell/gannetwell/pkg/platform/rest"
)

const defaultRebootTime = 500 * time.Millisecond

// VMRuntime simulates what runs on the VMs; its methods must not call the platform.
type VMRuntime interface {
	// Leaving is called when a VM starts to drain, or when that is reverted.
	Leaving(vm string, leaving bool)
	// Power is called when a VM is powered on or off.
	Power(vm string, on bool)
	// InFlight returns the number of requests that the VM's backend server is processing.
	InFlight(vm string) int
}

// noRuntime is a VMRuntime without effect.
type noRuntime struct{}

func (noRuntime) Leaving(string, bool) {}
func (noRuntime) Power(string, bool)   {}
func (noRuntime) InFlight(string) int  { return 0 }

// stateChange is a VM's state from a time on.
type stateChange struct {
	at    time.Time
	state platform.VMState
}

// fakeVM is a VM with the history of its states.
type fakeVM struct {
	listed    platform.ListedVM
	boot      int
	operation string
	history   []stateChange // ordered by time
}

// fleet holds the VMs.
type fleet struct {
	mu         sync.Mutex
	lag        time.Duration
	rebootTime time.Duration
	runtime    VMRuntime
	vms        map[string]*fakeVM
}

func (f *fleet) init() {
	f.rebootTime = defaultRebootTime
	f.runtime = noRuntime{}
	f.vms = map[string]*fakeVM{}
}

// AddVM adds a live VM and replaces an earlier one of the same name.
func (p *Platform) AddVM(vm platform.ListedVM) {
	f := &p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.State = platform.VMLive
	f.vms[vm.Name] = &fakeVM{listed: vm, boot: 1, history: []stateChange{{time.Now(), platform.VMLive}}}
}

// Fail powers a VM off without notice.
func (p *Platform) Fail(name string) { p.setPower(name, platform.VMGone) }

// Recover powers a failed VM on again.
func (p *Platform) Recover(name string) { p.setPower(name, platform.VMLive) }

func (p *Platform) setPower(name string, state platform.VMState) {
	f := &p.fleet
	f.mu.Lock()
	vm, ok := f.vms[name]
	if ok {
		vm.setState(state)
		if state == platform.VMLive {
			vm.boot++
		}
	}
	f.mu.Unlock()
	if ok {
		f.runtime.Power(name, state == platform.VMLive)
	}
}

// setState sets the state and records it in the history; the caller holds the lock.
func (vm *fakeVM) setState(state platform.VMState) {
	vm.listed.State = state
	vm.history = append(vm.history, stateChange{time.Now(), state})
}

// stateAt returns the VM's state at a time; ok is false if the VM did not exist then.
func (vm *fakeVM) stateAt(t time.Time) (state platform.VMState, ok bool) {
	for i, h := range slices.Backward(vm.history) {
		if !h.at.After(t) {
			vm.history = vm.history[i:]
			return h.state, true
		}
	}
	return "", false
}

// ListVMs implements platform.Lister.
func (v *view) ListVMs(ctx context.Context, zone string) (list platform.VMList, err error) {
	err = v.call(ctx, rest.OpListVMs, func() error {
		f := &v.p.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		asOf := time.Now().Add(-f.lag)
		list.AsOfMs = asOf.UnixMilli()
		for _, vm := range f.vms {
			state, ok := vm.stateAt(asOf)
			if !ok || zone != "" && vm.listed.Zone != zone {
				continue
			}
			l := vm.listed
			l.State = state
			list.VMs = append(list.VMs, l)
		}
		slices.SortFunc(list.VMs, func(a, b platform.ListedVM) int { return strings.Compare(a.Name, b.Name) })
		return nil
	})
	return list, err
}

// withVM calls f for an existing VM under the lock, as one call of the platform.
func (v *view) withVM(ctx context.Context, op rest.Operation, name string, f func(vm *fakeVM) error) error {
	return v.call(ctx, op, func() error {
		fl := &v.p.fleet
		fl.mu.Lock()
		defer fl.mu.Unlock()
		vm, ok := fl.vms[name]
		if !ok {
			return platform.ErrRefused{Op: string(op), Reason: "there is no VM " + name}
		}
		return f(vm)
	})
}

// Drain implements platform.VMs.
func (v *view) Drain(ctx context.Context, name string, boot int) error {
	return v.withVM(ctx, rest.OpDrain, name, func(vm *fakeVM) error {
		if err := vm.checkBoot(rest.OpDrain, boot); err != nil {
			return err
		}
		v.p.fleet.setLeaving(vm, platform.VMLive, platform.VMLeaving)
		return nil
	})
}

// Undrain implements platform.VMs.
func (v *view) Undrain(ctx context.Context, name string) error {
	return v.withVM(ctx, rest.OpUndrain, name, func(vm *fakeVM) error {
		v.p.fleet.setLeaving(vm, platform.VMLeaving, platform.VMLive)
		return nil
	})
}

// checkBoot refuses an operation on a VM that has rebooted since the caller read boot.
func (vm *fakeVM) checkBoot(op rest.Operation, boot int) error {
	if vm.boot == boot {
		return nil
	}
	return platform.ErrRefused{Op: string(op), Reason: fmt.Sprintf("the VM is at boot %d, not %d", vm.boot, boot)}
}

// setLeaving changes the state and notifies the runtime; the caller holds the lock.
func (f *fleet) setLeaving(vm *fakeVM, from, to platform.VMState) {
	if vm.listed.State != from {
		return
	}
	vm.setState(to)
	f.runtime.Leaving(vm.listed.Name, to == platform.VMLeaving)
}

// Reboot implements platform.VMs.
func (v *view) Reboot(ctx context.Context, name, operation string, boot int) error {
	return v.withVM(ctx, rest.OpReboot, name, func(vm *fakeVM) error {
		if vm.operation == operation {
			return nil
		}
		if err := vm.checkBoot(rest.OpReboot, boot); err != nil {
			return err
		}
		if vm.listed.State == platform.VMRebooting {
			return platform.ErrRefused{Op: string(rest.OpReboot), Reason: "the VM is rebooting"}
		}
		vm.operation = operation
		vm.setState(platform.VMRebooting)
		go v.p.fleet.reboot(name)
		return nil
	})
}

// reboot powers a VM off and on again.
func (f *fleet) reboot(name string) {
	f.runtime.Power(name, false)
	time.Sleep(f.rebootTime)
	f.mu.Lock()
	vm, ok := f.vms[name]
	rebooting := ok && vm.listed.State == platform.VMRebooting
	f.mu.Unlock()
	if !rebooting {
		return
	}
	f.runtime.Power(name, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.boot++
	vm.setState(platform.VMLive)
}

// VMStatus implements platform.VMs.
func (v *view) VMStatus(ctx context.Context, name string) (status platform.VMStatus, err error) {
	err = v.withVM(ctx, rest.OpVMStatus, name, func(vm *fakeVM) error {
		if vm.listed.State == platform.VMGone {
			return platform.ErrNotDone{Op: string(rest.OpVMStatus), Cause: name + " does not answer"}
		}
		status = platform.VMStatus{
			Name: name, State: vm.listed.State, Boot: vm.boot, Operation: vm.operation,
			InFlight: v.p.fleet.runtime.InFlight(name),
		}
		return nil
	})
	return status, err
}
