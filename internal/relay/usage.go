package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/usagereport"
)

const (
	// finalReportWait is how long a stopping relay waits at least for its last counts and crashes to be reported.
	finalReportWait         = 300 * time.Millisecond
	finalReportPollInterval = 10 * time.Millisecond
)

// recordRun counts a tenant's request that began to run at the given moment. A request is counted once, however many back
// ends run it; the relay that a client has sent it to counts it.
func (r *Relay) recordRun(request *request, moment time.Duration) {
	if request.tenant == nil || request.isUsageCounted || request.forwarded != nil {
		return
	}
	request.isUsageCounted = true
	r.usage.CountRequest(moment, request.tenant.Name)
}

// usageReporter returns the reporter that sends tenants' usage to the leader.
func (r *Relay) usageReporter() *usagereport.Reporter {
	return &usagereport.Reporter{
		Meter: r.usage, Send: r.reportUsage, OnFailure: r.metrics.usageResends.Inc,
		RelayCount: func() int { return int(r.relayCount.Load()) },
	}
}

// awaitReported waits until the leader has acknowledged all usage counts and crash reports, until the end of a stopping
// relay's stay (maxStayShare) and for at least finalReportWait.
func (r *Relay) awaitReported() {
	stay := time.Duration(maxStayShare * float64(r.settings.GracePeriod))
	limit := max(r.clock.now()+finalReportWait, r.stopStartedAt+stay)
	for (r.usage.UnreportedCount() > 0 || r.guard.HasUnreported()) && r.clock.now() < limit {
		time.Sleep(finalReportPollInterval)
	}
}

// reportUsage sends a report to the last known leader. A controller that is not the leader forwards it.
func (r *Relay) reportUsage(ctx context.Context, report *v1.UsageReport) error {
	_, err := r.watcher.LeaderClient().ReportUsage(ctx, connect.NewRequest(&v1.ReportUsageRequest{Report: report}))
	return err
}
