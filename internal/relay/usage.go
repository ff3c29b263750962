package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/usagereport"
)

const (
	// lastUsageWait is how long a stopping relay waits until what it has counted is told.
	lastUsageWait = 300 * time.Millisecond
	lastUsagePoll = 10 * time.Millisecond
)

// noteRun counts a request of a tenant that began to run at a moment, once however many back ends run
// it.
func (r *Relay) noteRun(request *request, moment time.Duration) {
	if request.tenant == nil || request.counted {
		return
	}
	request.counted = true
	r.usage.CountRequest(moment, request.tenant.Name)
}

// usageReporter tells the leader what tenants use.
func (r *Relay) usageReporter() *usagereport.Reporter {
	return &usagereport.Reporter{
		Meter: r.usage, Send: r.reportUsage, OnFailure: r.metrics.usageSentAgain.Inc,
		RelayCount: func() int { return int(r.relayCount.Load()) },
	}
}

// awaitUsageReported lets a stopping relay tell what it has counted.
func (r *Relay) awaitUsageReported() {
	for limit := r.clock.now() + lastUsageWait; r.usage.UnreportedCount() > 0 && r.clock.now() < limit; {
		time.Sleep(lastUsagePoll)
	}
}

// reportUsage sends a report to the controller that led last, as far as is known here. One that does not
// lead passes it on.
func (r *Relay) reportUsage(ctx context.Context, report *v1.UsageReport) error {
	_, err := r.watcher.LeaderClient().ReportUsage(ctx, connect.NewRequest(&v1.ReportUsageRequest{Report: report}))
	return err
}
