package platform

import (
	"context"
	"fmt"
	"time"
)

// Resources are amounts of what a worker has or a task asks for.
type Resources struct {
	CPU      int `msgpack:"c,omitempty"` // thousandths of a core
	MemoryMB int `msgpack:"m,omitempty"`
	GPU      int `msgpack:"g,omitempty"`
}

// Fits tells whether r is no more than free in each kind.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Worker is one boot of a worker VM as it registers itself in the directory.
type Worker struct {
	Boot     string // identifies this boot, see [BootOf]
	VM       string
	Pool     string
	Address  string // host:port, may later belong to another boot
	Zone     string
	Draining bool // it is about to end and must get no new tasks
	Capacity Resources
	Labels   []string
}

// WorkerRef addresses one boot of a worker.
type WorkerRef struct {
	Boot    string
	Address string
}

// StartOrder tells a worker to begin an attempt of a task.
type StartOrder struct {
	Task       string
	Attempt    int64 // rises with each attempt of the task
	Spec       string
	Checkpoint string // what to go on from, empty for the beginning
	Ticket     string // leave of the advice service, empty where the queue has none
	Token      int64  // fencing token of the sender
	LeaseUntil int64  // milliseconds of the worker's clock, for all that runs there
}

// StopOrder tells a worker to end an attempt.
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

// RenewOrder renews the leases of all that runs at a worker and asks for a report.
type RenewOrder struct {
	Token      int64
	LeaseUntil int64         // milliseconds of the worker's clock, 0 to renew nothing
	AckedSeq   int64         // ends up to this number need not be reported again
	Wait       time.Duration // how long to wait for an end that was not acknowledged
}

// RunningAttempt is an attempt that runs at a worker.
type RunningAttempt struct {
	Task       string
	Attempt    int64
	Checkpoint string
	Percent    int // of the work done; of a long-running task 100 when it serves
	Load       int // tail latency in ms of a task that serves others, else thousandths of a core in use
}

// EndReason tells how an attempt ended.
type EndReason string

// The ways in which an attempt ends.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed" // its lease ran out
	EndGangBroken     EndReason = "broken" // another member of its gang ended
	EndGangIncomplete EndReason = "alone"  // the other members of its gang did not come in time
)

// AttemptEnd is an attempt that ended at a worker.
type AttemptEnd struct {
	Seq        int64 // counts the ends of this boot from 1
	Task       string
	Attempt    int64
	Reason     EndReason
	Checkpoint string
}

// ClockUnknown stands for the clock of a worker that did not say; one that has just started says 0.
const ClockUnknown int64 = -1

// WorkerReport is what a worker says of itself.
type WorkerReport struct {
	ClockMs    int64 // the worker's steady clock, NoClock if it did not say
	BootedAtMs int64 // when the boot that answers started, in Unix milliseconds, 0 if it does not say
	Remaining  time.Duration
	Draining   bool
	Running    []RunningAttempt
	Ended      []AttemptEnd
}

// RefusalReason tells why a worker did not carry out an order.
type RefusalReason string

// The reasons of refusals.
const (
	RefusedStaleToken    RefusalReason = "fence"  // it has seen a higher fencing token
	RefusedStaleAttempt  RefusalReason = "old"    // the attempt is not above one that ended there
	RefusedLeaseExpired  RefusalReason = "late"   // the lease in the order has run out
	RefusedNoCapacity    RefusalReason = "room"   // it has not enough resources
	RefusedInvalidTicket RefusalReason = "ticket" // the ticket is not valid there
	RefusedOther         RefusalReason = "other"
	RefusedUnhealthy     RefusalReason = "unhealthy" // it cannot do anything at present
)

// ErrOrderRefused reports an order that the worker did not carry out.
type ErrOrderRefused struct {
	Reason  RefusalReason
	ClockMs int64 // the worker's clock, NoClock if it did not say
}

// Error gives the reason.
func (e ErrOrderRefused) Error() string {
	return fmt.Sprintf("the worker refused the order: %s", e.Reason)
}

// ErrOtherBoot reports that another boot answers at the address, so the one that was meant has ended.
type ErrOtherBoot struct {
	Boot string // empty if it did not say
}

// Error names the boot.
func (e ErrOtherBoot) Error() string { return fmt.Sprintf("boot %q answers at the address", e.Boot) }

// Workers gives orders to workers. What an order names is the ID of the worker that its boot
// is of, so that it reaches a later boot of that ID as well; only the report of RenewLeases
// tells which boot has answered. Errors are an [ErrOrderRefused], an
// [ErrOtherBoot], an [ErrNotDone] when the order did not reach the worker, or
// an [ErrUnknown]: the order may have been carried out, or may be later.
type Workers interface {
	// StartAttempt begins an attempt and returns the worker's clock in milliseconds.
	StartAttempt(ctx context.Context, w WorkerRef, o StartOrder) (clockMs int64, err error)
	// StopAttempt ends an attempt; its end is reported by RenewLeases.
	StopAttempt(ctx context.Context, w WorkerRef, o StopOrder) (clockMs int64, err error)
	// ThrottleAttempt limits an attempt's speed.
	ThrottleAttempt(ctx context.Context, w WorkerRef, o ThrottleOrder) (clockMs int64, err error)
	// RenewLeases renews what runs at a worker and returns its report.
	RenewLeases(ctx context.Context, w WorkerRef, o RenewOrder) (WorkerReport, error)
}
