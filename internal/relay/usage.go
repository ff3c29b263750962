package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/usagereport"
)

const (
	// finalUsageWait is how long a stopping relay waits until what it has counted is told.
	finalUsageWait         = 300 * time.Millisecond
	finalUsagePollInterval = 10 * time.Millisecond
)

// recordRun counts a request of a tenant that began to run at a moment, once however many back ends run
// it.
func (r *Relay) recordRun(request *request, moment time.Duration) {
	if request.tenant == nil || request.isUsageCounted {
		return
	}
	request.isUsageCounted = true
	r.usage.CountRequest(moment, request.tenant.Name)
}

// usageReporter tells the leader what tenants use.
func (r *Relay) usageReporter() *usagereport.Reporter {
	return &usagereport.Reporter{
		Meter: r.usage, Send: r.reportUsage, OnFailure: r.metrics.usageResends.Inc,
		RelayCount: func() int { return int(r.relayCount.Load()) },
	}
}

// awaitUsageReported lets a stopping relay tell what it has counted.
func (r *Relay) awaitUsageReported() {
	for limit := r.clock.now() + finalUsageWait; r.usage.UnreportedCount() > 0 && r.clock.now() < limit; {
		time.Sleep(finalUsagePollInterval)
	}
}

// reportUsage sends a report to the controller that led last, as far as is known here. One that does not
// lead passes it on.
func (r *Relay) reportUsage(ctx context.Context, report *v1.UsageReport) error {
	_, err := r.watcher.LeaderClient().ReportUsage(ctx, connect.NewRequest(&v1.ReportUsageRequest{Report: report}))
	return err
}
