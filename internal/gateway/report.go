package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// reportLoop tells the leader the demand met, each sync interval.
func (c *Control) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(c.settings.SyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := c.reportOnce(ctx); err != nil && ctx.Err() == nil {
			c.metrics.reportFailures.Inc()
			c.log.Warn().Err(err).Msg("no leader takes the demand report; its counts go into the next")
		}
	}
}

func (c *Control) reportOnce(ctx context.Context) error {
	build := buildReport{shareDemands: c.admitter.demands(), reply: make(chan *v1.ReportRequest, 1)}
	if !c.view.send(ctx, build) {
		return trace.Wrap(ctx.Err())
	}
	request, err := receive(ctx, build.reply)
	if err != nil {
		return err
	}
	sentAt := c.clock.now()
	response, err := c.controllers.report(ctx, request)
	if err != nil {
		c.view.send(ctx, loseReport{request: request})
		return err
	}
	c.admitter.apply(sentAt, response.GetShares())
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
