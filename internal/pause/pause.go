// Package pause waits for a duration unless a context ends first.
package pause

import (
	"context"
	"time"
)

// For waits for the given length. It returns false when the context ended first.
func For(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
