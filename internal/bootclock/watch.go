package bootclock

import (
	"context"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// watchInterval is the time between two checks of Watch.
const watchInterval = 100 * time.Millisecond

// Watch calls woken with the length of each suspension, soon after it ends, until the context is done.
// Timers do not count suspensions, so those that were set before a suspension fire late by its length.
func (c *Clock) Watch(ctx context.Context, woken func(suspended time.Duration)) {
	reported := c.SuspendedTime()
	for pause.For(ctx, watchInterval) {
		if now := c.SuspendedTime(); now > reported {
			woken(now - reported)
			reported = now
		}
	}
}
