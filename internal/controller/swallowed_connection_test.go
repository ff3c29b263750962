package controller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// Guards against a connection between controllers that is acknowledged and carries nothing, and that every later call to the
// peer uses again.
func TestSenderDropsAConnectionOnWhichACallTimedOut(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &silence.SwallowingListener{Listener: inner}
	routes := http.NewServeMux()
	peer := &countingPeer{}
	routes.Handle(hazelpitchv1connect.NewConsensusServiceHandler(peer))
	server := &http.Server{Handler: routes, Protocols: protocols()}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	dial, err := dialing.ToPeers("")
	require.NoError(t, err)
	client := newPeerClient(dial, nil)
	sender := &sender{
		client: hazelpitchv1connect.NewConsensusServiceClient(client, "http://"+inner.Addr().String()),
		queue:  make(chan *v1.ConsensusMessage, senderQueue), sent: func(int) {}, dropped: func(int) {}, delivered: func() {}, failed: func(error) {},
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go sender.run(ctx)
	require.Eventually(t, func() bool {
		sender.enqueue(&v1.ConsensusMessage{})
		return peer.delivered.Load() > 0
	}, time.Minute, 100*time.Millisecond)
	require.EqualValues(t, 2, listener.Accepted(), "the second connection is used")
}

// countingPeer counts the calls that reach it.
type countingPeer struct{ delivered atomic.Int64 }

// Deliver implements ConsensusServiceHandler.
func (p *countingPeer) Deliver(context.Context, *connect.Request[v1.DeliverRequest]) (*connect.Response[v1.DeliverResponse], error) {
	p.delivered.Add(1)
	return connect.NewResponse(&v1.DeliverResponse{}), nil
}
