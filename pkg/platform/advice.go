package platform

import (
	"context"
	"time"
)

// Permit is the advice service's permission to run a step on a worker.
type Permit struct {
	Boot   string // boot ID of the worker
	Ticket string // sent to the worker with each start order
}

// Adviser tells which workers may run a step. The answer for a worker stays the same;
// only tickets expire.
type Adviser interface {
	// Advise returns permits for those of the given boots that may run the step, and how
	// long the permits are valid. The error is an [ErrNotDone] when the service is overloaded.
	Advise(ctx context.Context, step string, boots []string) (permits []Permit, valid time.Duration, err error)
}
