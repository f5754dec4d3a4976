// Package pause waits between tries and passes, so that a context can end the wait.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, whose error it then returns: a loop that is
// stopped does not sit out its pause first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
