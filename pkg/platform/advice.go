package platform

import (
	"context"
	"time"
)

// Permit is the leave of the advice service to run a step at a worker.
type Permit struct {
	Boot   string
	Ticket string // to be shown with each start
}

// Adviser says which workers may run a step; that does not change, only tickets
// run out. Its error is an [ErrNotDone] when it has too many calls waiting.
type Adviser interface {
	// Advise returns permits for those of the workers that may run the step, and
	// how long they are valid.
	Advise(ctx context.Context, step string, boots []string) (permits []Permit, valid time.Duration, err error)
}
