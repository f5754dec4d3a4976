package platform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrRefused reports a call that the platform refused; it had no effect and would be refused again.
type ErrRefused struct {
	Op       string
	Reason   string
	Conflict bool // a precondition of a transaction did not hold
}

// Error says what was attempted and the platform's reason.
func (e ErrRefused) Error() string { return fmt.Sprintf("%s refused: %s", e.Op, e.Reason) }

// ErrNotDone reports a call that had no effect; it may be tried again.
type ErrNotDone struct {
	Op         string
	Cause      string
	RetryAfter time.Duration // the platform's wish, 0 for none
}

// Error says what was attempted and why it did not happen.
func (e ErrNotDone) Error() string { return fmt.Sprintf("%s did not happen: %s", e.Op, e.Cause) }

// ErrUnknown reports a call whose answer was lost; it may have had its effect.
type ErrUnknown struct {
	Op    string
	Cause string
}

// Error says what was attempted and how the answer was lost.
func (e ErrUnknown) Error() string {
	return fmt.Sprintf("%s has an unknown outcome: %s", e.Op, e.Cause)
}

// IsConflict tells that a transaction's preconditions did not hold.
func IsConflict(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused) && refused.Conflict
}

// IsRefused tells that the platform said no.
func IsRefused(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused)
}

// IsNotDone tells that the call had no effect and may be tried again.
func IsNotDone(err error) bool {
	var notDone ErrNotDone
	return errors.As(err, &notDone)
}

// IsUnknown tells that the call may have had its effect.
func IsUnknown(err error) bool {
	var unknown ErrUnknown
	return errors.As(err, &unknown)
}
