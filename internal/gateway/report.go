package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// urgentInterval is the delay after an urgent report before any other report is sent.
const urgentInterval = 100 * time.Millisecond

// reportLoop reports demand to the leader at each sync interval, and sends urgent reports in between for
// requests that wait for shares.
func (c *Control) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(c.settings.SyncInterval)
	defer ticker.Stop()
	for {
		reportOnce := c.reportOnce
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.admitter.wakeReport:
			reportOnce = c.reportUrgently
		}
		if err := reportOnce(ctx); err != nil && ctx.Err() == nil {
			c.metrics.reportFailures.Inc()
			c.log.Warn().Err(err).Msg("no leader accepted the demand report; its counts are added to the next report")
		}
	}
}

func (c *Control) reportOnce(ctx context.Context) error {
	demands, demandedAt := c.admitter.demands()
	build := buildReport{shareDemands: demands, reply: make(chan *v1.ReportRequest, 1)}
	if !c.view.send(ctx, build) {
		return trace.Wrap(ctx.Err())
	}
	request, err := receive(ctx, build.reply)
	if err != nil {
		return err
	}
	if err := c.sendReport(ctx, demandedAt, request); err != nil {
		c.view.send(ctx, restoreReport{request: request})
		return err
	}
	return nil
}

// reportUrgently requests the shares that requests wait for. It reports no demand counts.
func (c *Control) reportUrgently(ctx context.Context) error {
	demands, demandedAt := c.admitter.urgentDemands()
	if len(demands) == 0 {
		return nil
	}
	c.metrics.urgentReports.Inc()
	request := &v1.ReportRequest{Node: c.identity, ShareDemands: demands, Revision: c.view.snapshot.Load().Revision}
	err := c.sendReport(ctx, demandedAt, request)
	pause.For(ctx, urgentInterval)
	return err
}

// sendReport sends a report and applies the granted shares. Their leases count from
// the time of the demand, which is before the report was sent.
func (c *Control) sendReport(ctx context.Context, demandedAt time.Duration, request *v1.ReportRequest) error {
	limits := c.dispatcher.unreportedLimits()
	request.Limits = fleetlimit.LimitsToWire(limits)
	request.SoundRuns = c.guard.TakeSoundRuns()
	response, err := c.controllers.report(ctx, request)
	if err != nil {
		return err
	}
	c.dispatcher.applyReportLimits(limits, response)
	c.admitter.applyShares(demandedAt, response.GetShares())
	return nil
}

// report sends a report to the last known leader first and then to the other controllers, until a controller accepts the
// report. Only the leader accepts reports. If no controller accepts the report, the error holds the failures of all.
func (c *controllers) report(ctx context.Context, request *v1.ReportRequest) (*v1.ReportResponse, error) {
	var failures []error
	for _, address := range c.candidates(true) {
		limited, cancel := context.WithTimeout(ctx, controllerCallTimeout)
		response, err := c.client(address).Report(limited, connect.NewRequest(request))
		cancel()
		if err == nil {
			c.setLeader(address)
			return response.Msg, nil
		}
		failures = append(failures, trace.Wrap(err, "report to controller %s", address))
	}
	return nil, trace.NewAggregate(failures...)
}
