package platform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrRefused reports a call that the platform refused. It had no effect, and a retry
// would be refused too.
type ErrRefused struct {
	Op       string
	Reason   string
	Conflict bool // a precondition of a transaction did not hold
}

// Error returns the operation and the platform's reason.
func (e ErrRefused) Error() string { return fmt.Sprintf("%s refused: %s", e.Op, e.Reason) }

// ErrNotDone reports a call that had no effect and may be retried.
type ErrNotDone struct {
	Op         string
	Cause      string
	RetryAfter time.Duration // requested by the platform, 0 for none
}

// Error returns the operation and the cause.
func (e ErrNotDone) Error() string { return fmt.Sprintf("%s did not happen: %s", e.Op, e.Cause) }

// ErrUnknown reports a call whose answer was lost or unreadable; it may have taken effect.
type ErrUnknown struct {
	Op    string
	Cause string
}

// Error returns the operation and the cause.
func (e ErrUnknown) Error() string {
	return fmt.Sprintf("%s has an unknown outcome: %s", e.Op, e.Cause)
}

// ErrIncomplete reports a list that lacks entries which could not be read. What it has is returned with the error;
// nothing follows from what it has not.
type ErrIncomplete struct {
	Op    string
	Cause string
}

// Error returns the operation and the cause.
func (e ErrIncomplete) Error() string { return fmt.Sprintf("%s is incomplete: %s", e.Op, e.Cause) }

// IsConflict reports whether err is an [ErrRefused] for a failed transaction precondition.
func IsConflict(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused) && refused.Conflict
}

// IsRefused reports whether err is an [ErrRefused].
func IsRefused(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused)
}

// IsNotDone reports whether err is an [ErrNotDone].
func IsNotDone(err error) bool {
	var notDone ErrNotDone
	return errors.As(err, &notDone)
}

// IsUnknown reports whether err is an [ErrUnknown].
func IsUnknown(err error) bool {
	var unknown ErrUnknown
	return errors.As(err, &unknown)
}
