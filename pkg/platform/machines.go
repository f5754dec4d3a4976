package platform

import "context"

// MachineState is the state of a VM in the VM service's list.
type MachineState string

// The states of a [Machine].
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Machine is one VM as the VM service lists it.
type Machine struct {
	VM       string
	Pool     string
	State    MachineState
	Zone     string
	Labels   []string
	Capacity Resources
	Worker   string // ID of its worker, empty for none; later boots may reuse it
}

// Holder identifies the sender of an order, so that the VM service can refuse orders from
// an earlier owner of the fleet operations.
type Holder struct {
	Name  string
	Token int64 // fencing token, increases with each new holder
}

// Machines lists VMs, moves them between pools and starts their maintenance. Errors of
// orders are an [ErrRefused] when the VM cannot do it now, an [ErrNotDone], or an [ErrUnknown].
type Machines interface {
	// ListMachines returns all VMs. If some can't be read, it returns the others and an [ErrIncomplete].
	ListMachines(ctx context.Context) ([]Machine, error)
	// MoveMachine moves a VM to another pool; its running tasks end at once.
	MoveMachine(ctx context.Context, vm, pool string, h Holder) error
	// MaintainMachine takes a VM down for its maintenance in a wave; its running tasks end at once.
	MaintainMachine(ctx context.Context, vm string, wave int, h Holder) error
}
