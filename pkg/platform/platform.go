package platform

import "context"

// Item is one item of the table service.
type Item struct {
	Key     string `json:"key"`
	Version int64  `json:"version"` // 0 for an item that does not exist
	Value   []byte `json:"value"`
}

// Condition is a precondition of a transaction: the item still has the version.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"` // 0 demands that the item does not exist
}

// Write sets or removes one item.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Remove bool   `json:"remove,omitempty"`
}

// Txn is a set of writes that happen together, and only if every condition holds.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns an item; its version is 0 when it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Scan returns items with from <= key < to in order, at most limit of them.
	Scan(ctx context.Context, from, to string, limit int) ([]Item, error)
	// Commit carries out a transaction.
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the object store.
type Objects interface {
	// PutObject stores an object, in place of an earlier one of that name.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns the names with a prefix, in order.
	ListObjects(ctx context.Context, prefix string) ([]string, error)
}

// Role tells what a VM is for.
type Role string

// The roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// VMState is the state of a VM as the platform sees it.
type VMState string

// The states of VMs.
const (
	VMLive      VMState = "live"
	VMLeaving   VMState = "leaving"
	VMRebooting VMState = "rebooting"
	VMGone      VMState = "gone"
)

// ListedVM is one VM of the list.
type ListedVM struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`
	Role    Role    `json:"role"`
	State   VMState `json:"state"`
	Address string  `json:"address"` // of the backend server, or of an entry's peer listener
}

// VMList is the list of VMs as it was at a time in the past.
type VMList struct {
	AsOfMs int64      `json:"as_of_ms"` // Unix milliseconds
	VMs    []ListedVM `json:"vms"`
}

// Lister gives the list of live and leaving VMs, which lags behind reality.
type Lister interface {
	// ListVMs returns the VMs of a zone, of all zones when it is empty.
	ListVMs(ctx context.Context, zone string) (VMList, error)
}

// VMStatus is what a VM says of itself.
type VMStatus struct {
	Name      string  `json:"name"`
	State     VMState `json:"state"`
	Boot      int     `json:"boot"`      // counts the VM's boots
	Operation string  `json:"operation"` // the last reboot operation that was carried out
	InFlight  int     `json:"in_flight"` // requests that its backend server is working on
}

// VMs operates on VMs; each call may be repeated with the same arguments without a further effect.
type VMs interface {
	// Drain tells a VM that it is leaving; it goes on with what is in flight.
	// It is refused when the VM has booted since boot was read.
	Drain(ctx context.Context, vm string, boot int) error
	// Undrain takes a Drain back.
	Undrain(ctx context.Context, vm string) error
	// Reboot restarts a VM with new software, once for each operation.
	// It is refused when the VM has booted since boot was read, so that a call
	// that was held up cannot restart a VM that has returned.
	Reboot(ctx context.Context, vm, operation string, boot int) error
	// VMStatus asks the VM itself.
	VMStatus(ctx context.Context, vm string) (VMStatus, error)
}

// TaskState is the state of a task on a worker.
type TaskState string

// The states of tasks.
const (
	TaskRunning   TaskState = "running"
	TaskThrottled TaskState = "throttled"
	TaskStopped   TaskState = "stopped"
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
)

// TaskSpec asks a worker to run a task under a lease.
type TaskSpec struct {
	ID           string  `json:"id"` // the same over all tries
	VM           string  `json:"vm"`
	Cpus         float64 `json:"cpus"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
	LeaseMs      int     `json:"lease_ms"`   // without renewal the worker stops the task
	Checkpoint   string  `json:"checkpoint"` // object to go on from, empty for a fresh start
}

// TaskReport is what a worker says of a task, some time ago.
type TaskReport struct {
	ID       string    `json:"id"`
	VM       string    `json:"vm"`
	State    TaskState `json:"state"`
	AsOfMs   int64     `json:"as_of_ms"`
	Cpus     float64   `json:"cpus"`      // used
	MemoryMB int       `json:"memory_mb"` // used
	Reason   string    `json:"reason"`    // of a failure
}

// Tasks runs tasks on workers; each call may be repeated without a further effect.
type Tasks interface {
	// StartTask starts a task once for each ID.
	StartTask(ctx context.Context, spec TaskSpec) error
	// RenewTask extends the lease of a running task.
	RenewTask(ctx context.Context, id string, leaseMs int) error
	// CheckpointTask writes the task's state to an object and stops the task.
	CheckpointTask(ctx context.Context, id, object string) error
	// ThrottleTask caps a task's processors; 0 lifts the cap.
	ThrottleTask(ctx context.Context, id string, cpus float64) error
	// StopTask ends a task.
	StopTask(ctx context.Context, id string) error
	// ReportTasks returns the reports of a worker's tasks, with a lag.
	ReportTasks(ctx context.Context, vm string) ([]TaskReport, error)
}

// Platform is everything together, as an adapter offers it.
type Platform interface {
	Table
	Objects
	Lister
	VMs
	Tasks
}
