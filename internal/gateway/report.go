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

// urgentInterval is the least time between a report and an urgent one.
const urgentInterval = 100 * time.Millisecond

// reportLoop tells the leader the demand met, each sync interval, and in between what
// waiting requests need.
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
			c.log.Warn().Err(err).Msg("no leader takes the demand report; its counts go into the next")
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
	if err := c.exchangeReport(ctx, demandedAt, request); err != nil {
		c.view.send(ctx, loseReport{request: request})
		return err
	}
	return nil
}

// reportUrgently asks for the shares that requests wait for. It counts no demand.
func (c *Control) reportUrgently(ctx context.Context) error {
	demands, demandedAt := c.admitter.urgentDemands()
	if len(demands) == 0 {
		return nil
	}
	c.metrics.urgentReports.Inc()
	request := &v1.ReportRequest{Node: c.identity, ShareDemands: demands, Revision: c.view.snapshot.Load().Revision}
	err := c.exchangeReport(ctx, demandedAt, request)
	pause.For(ctx, urgentInterval)
	return err
}

// exchangeReport sends a report and takes the shares it brings. Their leases count from
// the time of the demand, which is before it was sent.
func (c *Control) exchangeReport(ctx context.Context, demandedAt time.Duration, request *v1.ReportRequest) error {
	heard := c.dispatcher.heardLimits()
	request.Limits = fleetlimit.LimitsToWire(heard)
	response, err := c.controllers.report(ctx, request)
	if err != nil {
		return err
	}
	c.dispatcher.limitsReported(heard, response)
	c.admitter.apply(demandedAt, response.GetShares())
	return nil
}

// report asks the leader, or else each controller until one turns out to lead.
func (c *controllers) report(ctx context.Context, request *v1.ReportRequest) (*v1.ReportResponse, error) {
	var failures []error
	for _, address := range c.inOrder(true) {
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
