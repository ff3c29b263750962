package gateway

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// shortestSyncInterval bounds the heartbeats that unknown keys cause.
const shortestSyncInterval = 50 * time.Millisecond

// syncLoop sends a heartbeat to a controller each interval, and earlier when a request
// brings an unknown key.
func (c *Control) syncLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.view.wakeSync:
		}
		if err := c.syncOnce(ctx); err != nil && ctx.Err() == nil {
			c.metrics.syncFailures.Inc()
			c.log.Warn().Err(err).Msg("no controller answers; going on with what is known")
		}
		timer.Reset(c.settings.SyncInterval)
		if !pause.For(ctx, shortestSyncInterval) {
			return
		}
	}
}

// syncOnce asks one controller after the other until one is not behind. All failing is
// an error; all behind is not, for the directory may still have been confirmed. One that
// is behind stays first: soon it is not, and were it passed over for good, all gateways
// would gather at the leader, which never is. Once one that is behind has confirmed the
// directory only one more is asked, another in each round: when a region is cut off, all
// others may be out of reach, and waiting for each would leave the directory unconfirmed.
func (c *Control) syncOnce(ctx context.Context) error {
	var failures []error
	confirmed := false
	for _, address := range c.controllers.inOrder(false) {
		result, err := c.syncWith(ctx, address)
		if err != nil {
			failures = append(failures, err)
			c.controllers.postpone(address)
		} else if !result.Behind {
			return nil
		}
		if confirmed {
			c.controllers.postpone(address)
			return nil
		}
		confirmed = err == nil && result.DirectoryConfirmed
	}
	return trace.NewAggregate(failures...)
}

func (c *Control) syncWith(ctx context.Context, address string) (gatewaystate.SyncResult, error) {
	build := buildSync{reply: make(chan *v1.SyncRequest, 1)}
	if !c.view.send(ctx, build) {
		return gatewaystate.SyncResult{}, trace.Wrap(ctx.Err())
	}
	request, err := receive(ctx, build.reply)
	if err != nil {
		return gatewaystate.SyncResult{}, err
	}
	request.HeldVersion, request.Formats = c.guard.QuarantineVersion(), formats.Supported().ToWire()
	sentAt := c.clock.now()
	response, err := c.controllers.sync(ctx, address, request)
	if err != nil {
		return gatewaystate.SyncResult{}, err
	}
	switch {
	case response.GetTellsHeld() || response.GetHeldVersion() != 0:
		c.guard.ApplyQuarantine(response.GetHeldVersion(), response.GetHeld())
	case !response.GetBehind():
		c.guard.MarkQuarantineUnsupported()
	}
	c.controllers.learn(response.GetControllerAddresses())
	if leader := response.GetLeaderAddress(); leader != "" {
		c.controllers.setLeader(leader)
	}
	apply := applySync{sentAt: sentAt, request: request, response: response, reply: make(chan gatewaystate.SyncResult, 1)}
	if !c.view.send(ctx, apply) {
		return gatewaystate.SyncResult{}, trace.Wrap(ctx.Err())
	}
	return receive(ctx, apply.reply)
}

// receive waits for a reply of the view's owner.
func receive[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		var none T
		return none, trace.Wrap(ctx.Err())
	}
}
