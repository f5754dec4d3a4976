// Package pause has helpers for loops that wait: [For] between retries, [Wake] to end a wait for
// events early.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and returns the error of ctx, nil if it has not ended.
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
