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
	// sendTimeout ends the wait for the answer to a report, which is then sent again.
	sendTimeout = 600 * time.Millisecond
	// retryPause is the wait before a report is sent again. It doubles up to longestRetryPause, or to the gap between
	// reports where there are many relays: a leader may take none for as long as an upgrade lasts.
	retryPause        = 100 * time.Millisecond
	longestRetryPause = 400 * time.Millisecond
)

// SendFunc sends a report to the leader and returns nil once it was taken.
type SendFunc func(ctx context.Context, report *v1.UsageReport) error

// Reporter sends what a meter counts to the leader.
type Reporter struct {
	Meter *Meter
	Send  SendFunc
	// RelayCount returns how many relays there are, as far as is known.
	RelayCount func() int
	// OnFailure counts reports that have to be sent again.
	OnFailure func()
}

// Run reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Meter.wake:
		}
		r.Flush(ctx)
		pause.For(ctx, r.gap())
	}
}

// Flush reports everything that is counted, until it was taken or the context ends.
func (r *Reporter) Flush(ctx context.Context) {
	wait := retryPause
	for report := r.Meter.NextReport(); report != nil && ctx.Err() == nil; report = r.Meter.NextReport() {
		limited, cancel := context.WithTimeout(ctx, sendTimeout)
		err := r.Send(limited, report)
		cancel()
		if err == nil {
			r.Meter.AcknowledgeReport()
			wait = retryPause
			continue
		}
		r.OnFailure()
		pause.For(ctx, wait)
		wait = min(2*wait, max(longestRetryPause, r.gap()))
	}
}

// gap is the time between two reports of one relay.
func (r *Reporter) gap() time.Duration {
	return max(time.Duration(r.RelayCount())*time.Second/reportsPerSecond, leastGap)
}
