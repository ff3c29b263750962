package usagereport

import (
	"context"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// leastGap is the least time between two reports; what is counted meanwhile goes together.
	leastGap = 20 * time.Millisecond
	// reportsPerSecond is how many reports the leader gets about at most from all relays.
	reportsPerSecond = 600
	// tellTimeout ends a report whose answer is waited for in vain; it is then sent again.
	tellTimeout = 600 * time.Millisecond
	// retryPause is the wait before a report is sent again.
	retryPause = 100 * time.Millisecond
)

// Tell sends a report to the leader and returns nil once it was taken.
type Tell func(ctx context.Context, report *v1.UsageReport) error

// Teller tells what a meter counts.
type Teller struct {
	Meter *Meter
	Tell  Tell
	// Relays returns how many relays there are, as far as is known.
	Relays func() int
	// Failed counts reports that have to be sent again.
	Failed func()
}

// Run tells until the context ends.
func (t *Teller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Meter.wake:
		}
		t.Flush(ctx)
		pause.For(ctx, max(time.Duration(t.Relays())*time.Second/reportsPerSecond, leastGap))
	}
}

// Flush tells everything that is counted, until it was taken or the context ends.
func (t *Teller) Flush(ctx context.Context) {
	for report := t.Meter.Next(); report != nil && ctx.Err() == nil; report = t.Meter.Next() {
		limited, cancel := context.WithTimeout(ctx, tellTimeout)
		err := t.Tell(limited, report)
		cancel()
		if err == nil {
			t.Meter.Taken()
			continue
		}
		t.Failed()
		pause.For(ctx, retryPause)
	}
}
