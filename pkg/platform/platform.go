package platform

import "context"

// Item is one item of the table service.
type Item struct {
	Key     string `json:"key"`
	Version int64  `json:"version"` // 0 for an item that does not exist
	Value   []byte `json:"value"`
}

// Condition is a precondition of a transaction: the item has this version.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"` // 0 requires that the item does not exist
}

// Write sets or deletes one item.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Remove bool   `json:"remove,omitempty"`
}

// Txn is a set of writes that are applied atomically if every condition holds.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns an item; its version is 0 when it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Scan returns at most limit items with from <= key < to, ordered by key.
	Scan(ctx context.Context, from, to string, limit int) ([]Item, error)
	// Commit applies a transaction. A failed condition is an [ErrRefused] with Conflict set.
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the object store.
type Objects interface {
	// PutObject stores an object and replaces an earlier one of the same name.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object; the error is an [ErrRefused] if it does not exist.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns the sorted names of the objects with a prefix.
	ListObjects(ctx context.Context, prefix string) ([]string, error)
}

// Role is what a VM runs.
type Role string

// The roles of VMs: a gannetwell entry, or a worker.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// VMState is the platform's state of a VM.
type VMState string

// The states of VMs.
const (
	VMLive      VMState = "live"
	VMLeaving   VMState = "leaving"
	VMRebooting VMState = "rebooting"
	VMGone      VMState = "gone"
)

// ListedVM is one VM of a [VMList].
type ListedVM struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`
	Role    Role    `json:"role"`
	State   VMState `json:"state"`
	Address string  `json:"address"` // of the backend server or the entry's peer listener
}

// VMList is the list of VMs at a past time.
type VMList struct {
	AsOfMs int64      `json:"as_of_ms"` // Unix milliseconds
	VMs    []ListedVM `json:"vms"`
}

// Lister lists live and leaving VMs. The list lags behind the actual state.
type Lister interface {
	// ListVMs returns the VMs of a zone, or of all zones if zone is empty.
	ListVMs(ctx context.Context, zone string) (VMList, error)
}

// VMStatus is a VM's report of its own state.
type VMStatus struct {
	Name      string  `json:"name"`
	State     VMState `json:"state"`
	Boot      int     `json:"boot"`      // number of boots so far, unlike the ID in Worker.Boot
	Operation string  `json:"operation"` // ID of the last completed reboot operation
	InFlight  int     `json:"in_flight"` // requests that its backend server is processing
}

// VMs controls VMs. Calls are idempotent.
type VMs interface {
	// Drain marks a VM as leaving; requests in flight continue.
	// It is refused if the VM has booted since boot was read.
	Drain(ctx context.Context, vm string, boot int) error
	// Undrain reverts Drain.
	Undrain(ctx context.Context, vm string) error
	// Reboot restarts a VM with new software, once for each operation ID.
	// It is refused if the VM has booted since boot was read, so that a delayed
	// call cannot restart a VM that is back in service.
	Reboot(ctx context.Context, vm, operation string, boot int) error
	// VMStatus queries the VM itself, without the lag of the list.
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

// TaskSpec requests that a worker run a task under a lease.
type TaskSpec struct {
	ID           string  `json:"id"` // the same for all retries
	VM           string  `json:"vm"`
	Cpus         float64 `json:"cpus"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
	LeaseMs      int     `json:"lease_ms"`   // the worker stops the task when it expires
	Checkpoint   string  `json:"checkpoint"` // object to resume from, empty to start over
}

// TaskReport is a worker's report on a task at a past time.
type TaskReport struct {
	ID       string    `json:"id"`
	VM       string    `json:"vm"`
	State    TaskState `json:"state"`
	AsOfMs   int64     `json:"as_of_ms"`  // Unix milliseconds
	Cpus     float64   `json:"cpus"`      // used
	MemoryMB int       `json:"memory_mb"` // used
	Reason   string    `json:"reason"`    // why it failed or stopped
}

// Tasks runs tasks on workers. Calls are idempotent.
type Tasks interface {
	// StartTask starts a task unless one with its ID was already started.
	StartTask(ctx context.Context, spec TaskSpec) error
	// RenewTask extends the lease of a running task.
	RenewTask(ctx context.Context, id string, leaseMs int) error
	// CheckpointTask writes the task's state to an object and stops the task.
	CheckpointTask(ctx context.Context, id, object string) error
	// ThrottleTask limits a task's processors; 0 removes the limit.
	ThrottleTask(ctx context.Context, id string, cpus float64) error
	// StopTask ends a task.
	StopTask(ctx context.Context, id string) error
	// ReportTasks returns the reports on a worker's tasks, which may lag.
	ReportTasks(ctx context.Context, vm string) ([]TaskReport, error)
}

// Platform combines the interfaces that package rest implements.
type Platform interface {
	Table
	Objects
	Lister
	VMs
	Tasks
}
