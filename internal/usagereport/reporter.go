package usagereport

import (
	"context"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// minimumGap is the minimum time between two reports. Requests counted in the meantime are reported together.
	minimumGap = 20 * time.Millisecond
	// reportsPerSecond is the approximate maximum rate of reports to the leader from all relays.
	reportsPerSecond = 600
	// sendTimeout limits the wait for the response to a report, which is then sent again.
	sendTimeout = 600 * time.Millisecond
	// retryPause is the wait before a report is sent again. It doubles up to maximumRetryPause, or up to the gap between
	// reports with many relays: during an upgrade the leader may accept no reports.
	retryPause        = 100 * time.Millisecond
	maximumRetryPause = 400 * time.Millisecond
)

// SendFunc sends a report to the leader. It returns nil once the leader has acknowledged the report.
type SendFunc func(ctx context.Context, report *v1.UsageReport) error

// Reporter sends the counts of a Meter to the leader of the controllers.
type Reporter struct {
	Meter *Meter
	Send  SendFunc
	// RelayCount returns the number of relays as far as known.
	RelayCount func() int
	// OnFailure is called after each failed send of a report, which is then sent again.
	OnFailure func()
}

// Run sends reports until the context ends.
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

// Flush sends all counts. It blocks until they are acknowledged or the context ends.
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
		wait = min(2*wait, max(maximumRetryPause, r.gap()))
	}
}

// gap returns the time between two reports of one relay.
func (r *Reporter) gap() time.Duration {
	return max(time.Duration(r.RelayCount())*time.Second/reportsPerSecond, minimumGap)
}
