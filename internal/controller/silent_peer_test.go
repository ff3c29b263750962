package controller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

const (
	// contactBackAfter is the time after the end of a silence by which a controller must reach another one again.
	contactBackAfter = time.Second
	// largeSnapshot is the size of a snapshot that does not fit into a connection's windows of HTTP/2, of 1 MiB, so that a silence
	// interrupts it. Its transfer must take little of contactBackAfter on a busy machine.
	largeSnapshot = 16 << 20
)

// silentNetwork is the network between the controllers of the tests in this file.
var silentNetwork silence.Network

// silentPeer is a controller that a silence of the network cuts off from the one under test.
type silentPeer struct {
	hazelpitchv1connect.UnimplementedConsensusServiceHandler
	hazelpitchv1connect.UnimplementedNodeServiceHandler
	// arriving is closed when the head of the first snapshot has arrived; its body is read once silent is closed.
	arriving, silent chan struct{}
	once             sync.Once
	delivered        chan struct{}
}

// Deliver implements ConsensusServiceHandler.
func (p *silentPeer) Deliver(context.Context, *connect.Request[v1.DeliverRequest]) (*connect.Response[v1.DeliverResponse], error) {
	select {
	case p.delivered <- struct{}{}:
	default:
	}
	return connect.NewResponse(&v1.DeliverResponse{}), nil
}

// TakePermit implements NodeServiceHandler.
func (p *silentPeer) TakePermit(context.Context, *connect.Request[v1.TakePermitRequest]) (*connect.Response[v1.TakePermitResponse], error) {
	return connect.NewResponse(&v1.TakePermitResponse{}), nil
}

// holdFirst makes the first request wait until the silence has begun.
func (p *silentPeer) holdFirst(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		p.once.Do(func() { close(p.arriving); <-p.silent })
		next.ServeHTTP(writer, request)
	})
}

// start serves the peer at an address and returns its base URL.
func (p *silentPeer) start(t *testing.T, ip string) string {
	t.Helper()
	p.arriving, p.silent, p.delivered = make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	listener, err := closing.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	routes := http.NewServeMux()
	path, consensus := hazelpitchv1connect.NewConsensusServiceHandler(p, connect.WithReadMaxBytes(maxPeerMessageBytes))
	routes.Handle(path, p.holdFirst(consensus))
	routes.Handle(hazelpitchv1connect.NewNodeServiceHandler(p))
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = serveHTTP(ctx, listener, routes, nil, nil) })
	t.Cleanup(func() { cancel(); serving.Wait() })
	return "http://" + listener.Addr().String()
}

// Guards against a snapshot that a silence of the network interrupts and that is not sent again soon after its end, and
// against calls that are forwarded to the leader and wait on the connection that the silence has cut.
func TestSnapshotsAndForwardedCallsArriveSoonAfterASilence(t *testing.T) {
	t.Parallel()
	for index, length := range []time.Duration{40 * time.Second, 20 * time.Second, 10 * time.Second, 4 * time.Second, time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			own, other := fmt.Sprintf("127.0.%d.1", 80+index), fmt.Sprintf("127.0.%d.2", 80+index)
			peer := &silentPeer{}
			url := peer.start(t, other)
			dial, err := dialing.ToPeers(own)
			require.NoError(t, err)
			client := newPeerClient(dial, nil)
			snapshots := &sender{
				client: hazelpitchv1connect.NewConsensusServiceClient(client, url), queue: make(chan *v1.ConsensusMessage, snapshotQueue),
				sent: func(int) {}, dropped: func(int) {}, delivered: func() {}, failed: func(error) {},
			}
			go snapshots.run(t.Context())
			node := hazelpitchv1connect.NewNodeServiceClient(client, url)
			forward := func(limit time.Duration) error {
				limited, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				_, err := node.TakePermit(limited, connect.NewRequest(&v1.TakePermitRequest{}))
				return err
			}
			require.NoError(t, forward(callTimeout))
			snapshot := &v1.ConsensusMessage{Snapshot: &v1.Snapshot{Data: make([]byte, largeSnapshot)}}
			snapshots.enqueue(snapshot)
			<-peer.arriving
			hosts := []netip.Addr{netip.MustParseAddr(own), netip.MustParseAddr(other)}
			unblock, err := silentNetwork.Block(hosts, hosts)
			require.NoError(t, err)
			close(peer.silent)
			began := time.Now()
			hung := make(chan time.Duration, 1)
			go func() { _ = forward(callTimeout); hung <- time.Since(began) }()
			time.Sleep(length)
			require.NoError(t, unblock())
			ended := time.Now()
			for forward(contactBackAfter) != nil {
			}
			forwardTook := time.Since(ended)
			for isDelivered := false; !isDelivered; {
				snapshots.enqueue(snapshot) // as the consensus protocol does until a snapshot is acknowledged
				select {
				case <-peer.delivered:
					isDelivered = true
				case <-time.After(10 * time.Millisecond):
				}
			}
			snapshotTook := time.Since(ended)
			t.Logf("a call succeeds after %v, a snapshot arrives after %v; a call within the silence ended after %v", forwardTook, snapshotTook, <-hung)
			require.LessOrEqual(t, forwardTook, contactBackAfter)
			require.LessOrEqual(t, snapshotTook, contactBackAfter)
		})
	}
}
