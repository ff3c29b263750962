// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits; it reports false when the context ended first.
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
