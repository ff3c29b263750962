package gateway

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// minimumSyncInterval is the shortest time between two heartbeats, also when requests with unknown API keys trigger them.
const minimumSyncInterval = 50 * time.Millisecond

// failedSyncInterval is the longest time to the next heartbeat after one that no controller has answered.
const failedSyncInterval = 250 * time.Millisecond

// syncLoop sends a heartbeat to a controller at each sync interval, and earlier when a request
// has an unknown key or no controller has answered the last heartbeat.
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
		interval := c.settings.SyncInterval
		if err := c.syncOnce(ctx); err != nil && ctx.Err() == nil {
			interval = min(interval, failedSyncInterval)
			c.metrics.syncFailures.Inc()
			c.log.Warn().Err(err).Msg("no controller answers; continuing with the last known state")
		}
		timer.Reset(interval)
		if !pause.For(ctx, minimumSyncInterval) {
			return
		}
	}
}

// syncOnce sends a heartbeat to one controller after the other until one answers that is not behind. A controller is
// behind when it may miss configuration. syncOnce returns no error when every controller answers but is behind, because
// such a controller may still confirm the directory. A controller that is behind keeps its place in the order of attempts,
// because it will soon catch up; if it were demoted for good, all gateways would gather at the leader, which is never
// behind. Once a controller that is behind has confirmed the directory, only one more controller is tried and then moves
// to the end of the order, so that each round tries another one: when a region is cut off, all other controllers may be
// unreachable, and waiting for each of them would leave the directory unconfirmed for too long.
func (c *Control) syncOnce(ctx context.Context) error {
	var failures []error
	confirmed := false
	for _, address := range c.controllers.candidates(false) {
		result, err := c.syncWith(ctx, address)
		if err != nil {
			failures = append(failures, err)
			c.controllers.demote(address)
		} else if !result.Behind {
			return nil
		}
		if confirmed {
			c.controllers.demote(address)
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
		c.guard.ApplyQuarantine(crashguard.Statement{
			Version: response.GetHeldVersion(), Requests: response.GetHeld(), TellsParts: response.GetTellsParts(), Parts: response.GetSuspectParts(),
		})
	case !response.GetBehind():
		c.guard.MarkQuarantineUnsupported()
	}
	c.controllers.addAddresses(response.GetControllerAddresses())
	if leader := response.GetLeaderAddress(); leader != "" {
		c.controllers.setLeader(leader)
	}
	apply := applySync{sentAt: sentAt, request: request, response: response, reply: make(chan gatewaystate.SyncResult, 1)}
	if !c.view.send(ctx, apply) {
		return gatewaystate.SyncResult{}, trace.Wrap(ctx.Err())
	}
	return receive(ctx, apply.reply)
}

// receive waits for a reply of the view's goroutine.
func receive[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		var none T
		return none, trace.Wrap(ctx.Err())
	}
}
