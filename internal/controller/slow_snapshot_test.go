package controller

import (
	"context"
	"crypto/rand"
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
)

// slowListener accepts connections that pass at most slowChunk bytes in each slowInterval, as a narrow or lossy link does.
type slowListener struct{ net.Listener }

const (
	slowChunk    = 16 << 10
	slowInterval = 16 * time.Millisecond // 1 MB/s
)

type slowConnection struct{ net.Conn }

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConnection{connection}, nil
}

// Read implements net.Conn.
func (c slowConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer[:min(len(buffer), slowChunk)])
	if n > 1<<10 {
		time.Sleep(slowInterval * time.Duration(n) / slowChunk)
	}
	return n, err
}

// snapshotPeer counts the snapshots that reach it.
type snapshotPeer struct{ received atomic.Int64 }

// Deliver implements ConsensusServiceHandler.
func (p *snapshotPeer) Deliver(context.Context, *connect.Request[v1.DeliverRequest]) (*connect.Response[v1.DeliverResponse], error) {
	p.received.Add(1)
	return connect.NewResponse(&v1.DeliverResponse{}), nil
}

// Guards against a member that never gets the leader's snapshot because its transfer takes longer than the time for a call:
// each attempt starts from the first byte and ends at the same time, so that the member stays a learner for good.
func TestSnapshotThatTakesLongerThanACallArrives(t *testing.T) {
	for name, size := range map[string]int{"1 MB": 1 << 20, "4 MB": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			routes := http.NewServeMux()
			peer := &snapshotPeer{}
			routes.Handle(hazelpitchv1connect.NewConsensusServiceHandler(peer, connect.WithReadMaxBytes(maxPeerMessageBytes)))
			server := &http.Server{Handler: routes, Protocols: protocols()}
			go func() { _ = server.Serve(slowListener{inner}) }()
			t.Cleanup(func() { _ = server.Close() })
			dial, err := dialing.ToPeers("")
			require.NoError(t, err)
			failures := atomic.Int64{}
			sender := &sender{
				client: hazelpitchv1connect.NewConsensusServiceClient(newPeerClient(dial, nil), "http://"+inner.Addr().String()),
				queue:  make(chan *v1.ConsensusMessage, snapshotQueue), sent: func(int) {}, dropped: func(int) {}, delivered: func() {}, failed: func(error) { failures.Add(1) },
			}
			go sender.run(t.Context())
			content := make([]byte, size)
			_, _ = rand.Read(content)
			require.Eventually(t, func() bool {
				sender.enqueue(&v1.ConsensusMessage{Snapshot: &v1.Snapshot{Data: content}}) // as the leader does after each election timeout
				return peer.received.Load() > 0
			}, 30*time.Second, 400*time.Millisecond, "calls failed")
			t.Logf("%d calls failed", failures.Load())
		})
	}
}
