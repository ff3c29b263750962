package leaderwatch

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
)

// fakeController answers watches with the function of the test.
type fakeController struct {
	hazelpitchv1connect.UnimplementedNodeServiceHandler
	answer func() *v1.WatchResponse
}

func (s *fakeController) Watch(context.Context, *connect.Request[v1.WatchRequest]) (*connect.Response[v1.WatchResponse], error) {
	return connect.NewResponse(s.answer()), nil
}

// startController serves a fakeController and returns its address.
func startController(t *testing.T, answer func() *v1.WatchResponse) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(hazelpitchv1connect.NewNodeServiceHandler(&fakeController{answer: answer}))
	server := &http.Server{Handler: mux, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// recordingNode records the leader's responses and counts the requests that no leader answered.
type recordingNode struct {
	responses     chan *v1.WatchResponse
	noLeaderCalls atomic.Int64
	// unusable makes ApplyUpdate report that the response could not be applied.
	unusable bool
}

func (*recordingNode) BeforeWatch([]string) {}

func (*recordingNode) WatchRequest(wait time.Duration) *v1.WatchRequest {
	return &v1.WatchRequest{WaitMs: uint32(wait.Milliseconds())}
}

func (r *recordingNode) ApplyUpdate(response *v1.WatchResponse) bool {
	r.responses <- response
	return !r.unusable
}

func (r *recordingNode) HandleNoLeader(context.Context) { r.noLeaderCalls.Add(1) }

// A watcher must get from a dead seed and a follower to the leader, and then stay with the leader.
func TestWatcherFindsTheLeader(t *testing.T) {
	number := uint64(0)
	leader := startController(t, func() *v1.WatchResponse {
		number++
		return &v1.WatchResponse{ListingVersion: number}
	})
	follower := startController(t, func() *v1.WatchResponse {
		return &v1.WatchResponse{Behind: true, LeaderAddress: leader, ControllerAddresses: []string{leader}}
	})
	node := &recordingNode{responses: make(chan *v1.WatchResponse)}
	watcher := New(Config{
		Seeds: []string{"127.0.0.1:1", follower}, Dial: (&net.Dialer{}).DialContext,
		Now: func() time.Duration { return 0 }, NodeCount: func() int { return 1 }, Draw: func() float64 { return 0 }, Node: node,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go watcher.Run(ctx)
	require.Equal(t, uint64(1), (<-node.responses).GetListingVersion())
	require.Equal(t, uint64(2), (<-node.responses).GetListingVersion())
	require.EqualValues(t, 2, node.noLeaderCalls.Load())
}

// A request to the same controller must reuse the client.
func TestClientIsReusedForSameController(t *testing.T) {
	watcher := New(Config{Seeds: []string{"a"}, Dial: (&net.Dialer{}).DialContext})
	first := watcher.client("a")
	watcher.current.Store(first)
	require.Same(t, first, watcher.client("a"))
	require.Equal(t, "b", watcher.client("b").address)
}

// A response that waited on this machine while it was suspended must be discarded and requested again.
func TestWatcherDiscardsResponseAfterSuspension(t *testing.T) {
	var now atomic.Int64
	leader := startController(t, func() *v1.WatchResponse {
		defer now.Add(int64(time.Minute))
		return &v1.WatchResponse{ListingVersion: uint64(now.Load()/int64(time.Minute)) + 1}
	})
	node := &recordingNode{responses: make(chan *v1.WatchResponse, 1)}
	watcher := New(Config{
		Seeds: []string{leader}, Dial: (&net.Dialer{}).DialContext,
		Now: func() time.Duration { return time.Duration(now.Load()) }, NodeCount: func() int { return 1 }, Draw: func() float64 { return 0 }, Node: node,
	})
	require.True(t, watcher.watchOnce(t.Context()), "the leader must get the next request at once")
	require.Empty(t, node.responses)
}

// Nodes that had a leader switch to the next one over a time that grows with their number; a node without
// a leader so far sends its request at once.
func TestSwitchToNewLeaderIsSpread(t *testing.T) {
	require.Equal(t, 12*time.Millisecond, spreadTime(12))
	require.Equal(t, time.Second, spreadTime(1000))
	watcher := New(Config{Seeds: []string{"a", "b"}, Dial: (&net.Dialer{}).DialContext})
	watcher.controllers.applyResponse(&v1.WatchResponse{Behind: true, LeaderAddress: "b"}, "a")
	require.False(t, watcher.switchesToNewLeader("b"), "the node has no data yet")
	watcher.lastLeader = "a"
	require.True(t, watcher.switchesToNewLeader("b"))
	require.False(t, watcher.switchesToNewLeader("a"), "this controller was the leader before")
	watcher.controllers.advanceAfterFailure()
	require.False(t, watcher.switchesToNewLeader("b"), "after a failure no leader is known")
}

// A response that cannot be applied must not be requested again at once: a leader of another build would
// return the same response as fast as it is requested.
func TestWatcherPausesAfterAnAnswerOfNoUse(t *testing.T) {
	leader := startController(t, func() *v1.WatchResponse { return &v1.WatchResponse{} })
	node := &recordingNode{responses: make(chan *v1.WatchResponse), unusable: true}
	watcher := New(Config{
		Seeds: []string{leader}, Dial: (&net.Dialer{}).DialContext,
		Now: func() time.Duration { return 0 }, NodeCount: func() int { return 1 }, Draw: func() float64 { return 0 }, Node: node,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go watcher.Run(ctx)
	<-node.responses
	answeredAt := time.Now()
	<-node.responses
	require.GreaterOrEqual(t, time.Since(answeredAt), unusableResponseDelay)
}
