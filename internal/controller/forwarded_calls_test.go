package controller

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// forwardedCallTimeout is the deadline of a call in this test; gateways wait about as long.
const forwardedCallTimeout = 900 * time.Millisecond

// leadingNode is the node service of the leader; it answers each report.
type leadingNode struct {
	hazelpitchv1connect.UnimplementedNodeServiceHandler
}

// ReportUsage implements NodeServiceHandler.
func (leadingNode) ReportUsage(context.Context, *connect.Request[v1.ReportUsageRequest]) (*connect.Response[v1.ReportUsageResponse], error) {
	return connect.NewResponse(&v1.ReportUsageResponse{}), nil
}

// Guards against calls that a controller forwards to the leader on a connection that is acknowledged and carries nothing: the
// end of a call by its time left the connection in use for all later ones.
func TestForwardedCallsLeaveAConnectionOnWhichOneTimedOut(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &silence.SwallowingListener{Listener: inner}
	routes := http.NewServeMux()
	routes.Handle(hazelpitchv1connect.NewNodeServiceHandler(leadingNode{}))
	server := &http.Server{Handler: routes, Protocols: protocols()}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	leader := inner.Addr().String()

	core := &scriptedCore{respond: func(input control.Input) []control.Output {
		return []control.Output{control.Answer{Call: input.(control.UsageReceived).Call, Err: &control.NotLeaderError{Leader: leader}}}
	}}
	calls := newCalls()
	origin := time.Now()
	loop := newLoop(core, func() time.Duration { return time.Since(origin) })
	loop.execute = func(output control.Output) { calls.answer(output.(control.Answer)) }
	go loop.run(t.Context())
	dial, err := dialing.ToPeers("")
	require.NoError(t, err)
	follower := nodeService{&service{
		loop: loop, calls: calls, peers: newPeerClient(dial, nil), peerURL: peerURL(false), log: logring.New("core-1", settings.Log{RingEntries: 16}),
		leaderAddress: func() string { return leader }, countCall: func(string, string) {},
	}}
	report := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), forwardedCallTimeout)
		defer cancel()
		_, err := follower.ReportUsage(ctx, connect.NewRequest(&v1.ReportUsageRequest{}))
		return err
	}
	for range 10 { // the connection carries nothing: all of them must not fail
		if err = report(); err == nil {
			return
		}
		t.Logf("after %v: %v; %d connections accepted", time.Since(origin).Round(time.Millisecond), err, listener.Accepted())
	}
	require.NoError(t, err)
}
