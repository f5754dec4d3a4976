package platform

import (
	"context"
	"fmt"
	"time"
)

// Resources are amounts that a worker has or a task requests.
type Resources struct {
	CPU      int `msgpack:"c,omitempty"` // thousandths of a core
	MemoryMB int `msgpack:"m,omitempty"`
	GPU      int `msgpack:"g,omitempty"`
}

// Fits reports whether r does not exceed free in any resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// MaxResources bounds what one worker may have or one task may request, so that sums over all of them fit.
var MaxResources = Resources{CPU: 10_000_000, MemoryMB: 128 << 20, GPU: 10_000}

// InRange reports whether no amount is negative or exceeds [MaxResources].
func (r Resources) InRange() bool {
	return min(r.CPU, r.MemoryMB, r.GPU) >= 0 && r.Fits(MaxResources)
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Min returns the amounts of r, each at most n.
func (r Resources) Min(n int) Resources {
	return Resources{CPU: min(r.CPU, n), MemoryMB: min(r.MemoryMB, n), GPU: min(r.GPU, n)}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Worker is a running worker process as registered in the worker directory. After a
// restart it is another Worker.
type Worker struct {
	Boot     string // see [BootID]
	VM       string
	Pool     string
	Address  string // host:port, may be reused by another boot
	Zone     string
	Draining bool // it will shut down and must get no new tasks
	Capacity Resources
	Labels   []string

	// ColdLeft is how much longer it runs tasks slowly, counted from when its entry was written, 0 for a
	// worker at full speed.
	ColdLeft time.Duration
	ClockMs  int64 // its clock when the entry was written, or [ClockUnknown]; valid with ColdLeft
}

// WorkerRef addresses one boot of a worker.
type WorkerRef struct {
	Boot    string
	Address string
}

// StartOrder tells a worker to start an attempt of a task.
type StartOrder struct {
	Task       string
	Attempt    int64 // increases with each attempt of the task
	Spec       string
	Checkpoint string // to resume from, empty to start over
	Ticket     string // from [Permit], empty if the queue uses no advice service
	Token      int64  // fencing token of the sender
	LeaseUntil int64  // in ms of the worker's clock; applies to all attempts on the worker
}

// StopOrder tells a worker to stop an attempt.
type StopOrder struct {
	Task    string
	Attempt int64
	Token   int64
}

// ThrottleOrder limits an attempt to a share of its normal speed.
type ThrottleOrder struct {
	Task    string
	Attempt int64
	Percent int
	Token   int64
}

// RenewOrder renews the leases of all attempts on a worker and requests a report.
type RenewOrder struct {
	Token      int64
	LeaseUntil int64         // in ms of the worker's clock, 0 to renew nothing
	AckedSeq   int64         // ends up to this sequence number are acknowledged
	Wait       time.Duration // how long the worker may delay its report until it has an unacknowledged end
}

// RunningAttempt is an attempt that is running on a worker.
type RunningAttempt struct {
	Task       string
	Attempt    int64
	Checkpoint string
	Percent    int // progress; for a long-running task 100 once it serves requests
	// Load is the tail latency in milliseconds of a long-running task, and for any other task the
	// CPU in use, in thousandths of a core.
	Load int
}

// EndReason is why an attempt ended.
type EndReason string

// The reasons for the end of an attempt.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed" // its lease expired
	EndGangBroken     EndReason = "broken" // another member of its gang ended
	EndGangIncomplete EndReason = "alone"  // the other members of its gang did not start in time
)

// AttemptEnd is an attempt that ended on a worker.
type AttemptEnd struct {
	Seq        int64 // sequence number of the end within the boot, from 1
	Task       string
	Attempt    int64
	Reason     EndReason
	Checkpoint string
}

// ClockUnknown is the clock of a worker that did not report it; 0 is a valid clock.
const ClockUnknown int64 = -1

// WorkerReport is a worker's report of its own state.
type WorkerReport struct {
	ClockMs    int64         // the worker's monotonic clock, or [ClockUnknown]
	BootedAtMs int64         // boot time in Unix milliseconds, 0 if unknown
	Remaining  time.Duration // until it shuts down, valid while it drains
	Draining   bool
	Running    []RunningAttempt
	Ended      []AttemptEnd // those not yet acknowledged, in part if MoreEnds is set
	MoreEnds   bool         // Ended holds as many as a report can, so that there may be later ones
}

// RefusalReason is why a worker refused an order.
type RefusalReason string

// The reasons for a refused order.
const (
	RefusedStaleToken    RefusalReason = "fence"  // the worker has seen a higher fencing token
	RefusedStaleAttempt  RefusalReason = "old"    // the same or a later attempt has ended there
	RefusedLeaseExpired  RefusalReason = "late"   // the lease in the order has expired
	RefusedNoCapacity    RefusalReason = "room"   // the worker lacks free resources
	RefusedInvalidTicket RefusalReason = "ticket" // the advice service's ticket is not valid there
	RefusedOther         RefusalReason = "other"
	RefusedUnhealthy     RefusalReason = "unhealthy" // the worker cannot take orders at present
)

// ErrOrderRefused reports an order that the worker refused.
type ErrOrderRefused struct {
	Reason  RefusalReason
	ClockMs int64 // the worker's clock, or [ClockUnknown]
}

// Error returns the reason.
func (e ErrOrderRefused) Error() string {
	return fmt.Sprintf("the worker refused the order: %s", e.Reason)
}

// ErrOtherBoot reports that another worker answers at the address, so the addressed boot has ended.
type ErrOtherBoot struct {
	Boot string // that answered, empty if unknown
}

// Error names the boot that answered.
func (e ErrOtherBoot) Error() string { return fmt.Sprintf("boot %q answers at the address", e.Boot) }

// Workers sends orders to workers. Orders are addressed to the worker's ID and so may reach
// a later boot with the same ID; only the report of RenewLeases tells which boot answered.
// Errors are an [ErrOrderRefused], an [ErrOtherBoot], an [ErrNotDone] if the order was not
// sent, or an [ErrUnknown] if it may have been or may still be carried out.
type Workers interface {
	// StartAttempt starts an attempt and returns the worker's clock in milliseconds.
	StartAttempt(ctx context.Context, w WorkerRef, o StartOrder) (clockMs int64, err error)
	// StopAttempt stops an attempt; RenewLeases reports its end.
	StopAttempt(ctx context.Context, w WorkerRef, o StopOrder) (clockMs int64, err error)
	// ThrottleAttempt limits an attempt to a share of its normal speed.
	ThrottleAttempt(ctx context.Context, w WorkerRef, o ThrottleOrder) (clockMs int64, err error)
	// RenewLeases renews the leases of all attempts on a worker and returns its report.
	RenewLeases(ctx context.Context, w WorkerRef, o RenewOrder) (WorkerReport, error)
}
