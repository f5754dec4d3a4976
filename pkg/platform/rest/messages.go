package rest

import "github.com/gannetwell/gannetwell/pkg/platform"

// Operation names a call in URL paths and errors.
type Operation string

// The operations.
const (
	OpGet            Operation = "table.get"
	OpScan           Operation = "table.scan"
	OpCommit         Operation = "table.commit"
	OpPutObject      Operation = "objects.put"
	OpGetObject      Operation = "objects.get"
	OpListObjects    Operation = "objects.list"
	OpListVMs        Operation = "vms.list"
	OpDrain          Operation = "vms.drain"
	OpUndrain        Operation = "vms.undrain"
	OpReboot         Operation = "vms.reboot"
	OpVMStatus       Operation = "vms.status"
	OpStartTask      Operation = "tasks.start"
	OpRenewTask      Operation = "tasks.renew"
	OpCheckpointTask Operation = "tasks.checkpoint"
	OpThrottleTask   Operation = "tasks.throttle"
	OpStopTask       Operation = "tasks.stop"
	OpReportTasks    Operation = "tasks.report"
)

// Writes reports whether the operation changes any state.
func (o Operation) Writes() bool {
	switch o {
	case OpGet, OpScan, OpGetObject, OpListObjects, OpListVMs, OpVMStatus, OpReportTasks:
		return false
	}
	return true
}

// Call holds the arguments of any operation; each uses some of the fields.
type Call struct {
	Key       string             `json:"key,omitempty"`
	From      string             `json:"from,omitempty"`
	To        string             `json:"to,omitempty"`
	Limit     int                `json:"limit,omitempty"`
	Txn       *platform.Txn      `json:"txn,omitempty"`
	Data      []byte             `json:"data,omitempty"`
	Zone      string             `json:"zone,omitempty"`
	VM        string             `json:"vm,omitempty"`
	Operation string             `json:"operation,omitempty"`
	Boot      int                `json:"boot,omitempty"`
	Task      *platform.TaskSpec `json:"task,omitempty"`
	ID        string             `json:"id,omitempty"`
	LeaseMs   int                `json:"lease_ms,omitempty"`
	Cpus      float64            `json:"cpus,omitempty"`
}

// Answer holds the results of any operation; each sets some of the fields.
type Answer struct {
	Item    *platform.Item        `json:"item,omitempty"`
	Items   []platform.Item       `json:"items,omitempty"`
	Data    []byte                `json:"data,omitempty"`
	Names   []string              `json:"names,omitempty"`
	VMs     *platform.VMList      `json:"vms,omitempty"`
	Status  *platform.VMStatus    `json:"status,omitempty"`
	Reports []platform.TaskReport `json:"reports,omitempty"`
	Error   string                `json:"error,omitempty"`
}
