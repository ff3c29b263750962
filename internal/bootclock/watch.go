package bootclock

import (
	"context"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// watchPause is the time between two looks of Watch.
const watchPause = 100 * time.Millisecond

// Watch calls woken with the length of each suspension, soon after it, until the context ends. Timers do
// not count suspensions: what was set by one is late by then.
func (c *Clock) Watch(ctx context.Context, woken func(suspended time.Duration)) {
	known := c.SuspendedTime()
	for pause.For(ctx, watchPause) {
		if now := c.SuspendedTime(); now > known {
			woken(now - known)
			known = now
		}
	}
}
