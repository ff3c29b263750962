package controller

import (
	"context"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// consensusService receives consensus messages of other controllers.
type consensusService struct {
	loop  *loop
	fleet string
	// received records that a message from the controller at an address has arrived.
	received func(address string)
}

// Deliver queues the messages for the Core. An error means that some were dropped;
// the consensus protocol resends what it needs.
func (c consensusService) Deliver(_ context.Context, request *connect.Request[v1.DeliverRequest]) (*connect.Response[v1.DeliverResponse], error) {
	for _, message := range request.Msg.GetMessages() {
		if message.GetFleet() != c.fleet {
			return nil, connect.NewError(connect.CodePermissionDenied,
				trace.AccessDenied("this controller belongs to fleet %q, not %q; check the peers in the settings", c.fleet, message.GetFleet()))
		}
		c.received(message.GetSender().GetAddress())
		if !c.loop.sendPeerMessage(control.PeerMessage{Message: message}) {
			return nil, connect.NewError(connect.CodeResourceExhausted, trace.LimitExceeded("%d messages are waiting", peerQueueSize))
		}
	}
	return connect.NewResponse(&v1.DeliverResponse{}), nil
}
