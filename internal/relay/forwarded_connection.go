package relay

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/relay/forwarding"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// listenForForwarded opens the listener for requests that other relays forward, at the address of the relay's datagrams. If it
// cannot be opened, other relays forward to those that have one.
func (r *Relay) listenForForwarded(options Options) {
	listener, err := options.Listen("tcp", r.datagrams.Address)
	if err != nil {
		r.log.logger.Warn().Err(err).Str("address", r.datagrams.Address).Msg("cannot listen for forwarded requests; other relays cannot forward to this one")
		return
	}
	r.forwardListener = listener
}

// acceptForwarded serves the connections of other relays until the listener is closed.
func (r *Relay) acceptForwarded(ctx context.Context, listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err == nil {
			accepted := newClientConnection(r.connections.tracked.Track(connection), r.limits().HeaderBytes+forwardHeaderBytes)
			accepted.isFromRelay = true
			go r.serveConnection(accepted)
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		r.log.logger.Warn().Err(err).Msg("accepting a connection of another relay failed; retrying")
		time.Sleep(acceptPause)
	}
}

// forwardHeaderBytes bounds the size of the headers that forwarding adds to a request.
const forwardHeaderBytes = 1 << 10

// readPeerProgress returns what another relay has done for a request, and removes it from the request's headers. It returns
// nil for the request of a client.
func readPeerProgress(connection *clientConnection, head *fasthttp.RequestHeader) (*forwarding.Progress, error) {
	if !connection.isFromRelay {
		return nil, nil
	}
	progress, err := forwarding.ProgressFrom(func(name string) string { return string(head.Peek(name)) })
	if err != nil {
		return nil, &requestFault{fasthttp.StatusBadRequest, err.Error()}
	}
	for _, name := range forwarding.Headers {
		head.Del(name)
	}
	return &progress, nil
}

// applyPeerProgress applies what another relay has decided for a forwarded request. It reports whether this relay may serve the
// request: its configuration is not older and has the service and the tenant, and it has a path to the service.
func (r *Relay) applyPeerProgress(table *serving.Table, request *request) bool {
	progress := request.forwarded
	if table.Configuration.Number < progress.Configuration || r.path.pathTo(progress.Service).IsLost {
		return false
	}
	request.service = table.Service(progress.Service)
	request.usesKeys = table.Configuration.RequireKeys
	if progress.Tenant != "" {
		request.tenant = table.TenantNamed(progress.Tenant)
	}
	return request.service != nil && hasSplit(request.route, progress.Service) && request.tenantName() == progress.Tenant
}

// hasSplit reports whether a route sends requests to a service.
func hasSplit(route *serving.Route, service string) bool {
	for _, split := range route.Splits {
		if split.Service == service {
			return true
		}
	}
	return false
}
