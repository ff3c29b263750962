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

// standInController answers watches as a test says.
type standInController struct {
	hazelpitchv1connect.UnimplementedNodeServiceHandler
	answer func() *v1.WatchResponse
}

func (s *standInController) Watch(context.Context, *connect.Request[v1.WatchRequest]) (*connect.Response[v1.WatchResponse], error) {
	return connect.NewResponse(s.answer()), nil
}

// startController serves a stand-in and returns its address.
func startController(t *testing.T, answer func() *v1.WatchResponse) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(hazelpitchv1connect.NewNodeServiceHandler(&standInController{answer: answer}))
	server := &http.Server{Handler: mux, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// recordingHolder counts what it is told.
type recordingHolder struct {
	taken     chan *v1.WatchResponse
	noneLeads atomic.Int64
	// unusable: nothing of what it is told can be used.
	unusable bool
}

func (*recordingHolder) BeforeWatch([]string) {}

func (*recordingHolder) WatchRequest(wait time.Duration) *v1.WatchRequest {
	return &v1.WatchRequest{WaitMs: uint32(wait.Milliseconds())}
}

func (r *recordingHolder) ApplyUpdate(told *v1.WatchResponse) bool {
	r.taken <- told
	return !r.unusable
}

func (r *recordingHolder) HandleNoLeader(context.Context) { r.noneLeads.Add(1) }

// A watcher goes from a seed that is dead and one that does not lead to the leader, and asks it again.
func TestWatcherFindsTheLeader(t *testing.T) {
	number := uint64(0)
	leader := startController(t, func() *v1.WatchResponse {
		number++
		return &v1.WatchResponse{ListingVersion: number}
	})
	follower := startController(t, func() *v1.WatchResponse {
		return &v1.WatchResponse{Behind: true, LeaderAddress: leader, ControllerAddresses: []string{leader}}
	})
	holder := &recordingHolder{taken: make(chan *v1.WatchResponse)}
	watcher := New(Config{
		Seeds: []string{"127.0.0.1:1", follower}, Dial: (&net.Dialer{}).DialContext,
		Now: func() time.Duration { return 0 }, NodeCount: func() int { return 1 }, Draw: func() float64 { return 0 }, Node: holder,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go watcher.Run(ctx)
	require.Equal(t, uint64(1), (<-holder.taken).GetListingVersion())
	require.Equal(t, uint64(2), (<-holder.taken).GetListingVersion())
	require.EqualValues(t, 2, holder.noneLeads.Load())
}

// Nothing is made anew for a question to the same controller.
func TestClientOfAControllerIsKept(t *testing.T) {
	watcher := New(Config{Seeds: []string{"a"}, Dial: (&net.Dialer{}).DialContext})
	asked := watcher.client("a")
	watcher.asked.Store(asked)
	require.Same(t, asked, watcher.client("a"))
	require.Equal(t, "b", watcher.client("b").address)
}

// An answer that lay at this machine while it was suspended is asked for again.
func TestWatcherAsksAgainAfterASuspension(t *testing.T) {
	var now atomic.Int64
	leader := startController(t, func() *v1.WatchResponse {
		defer now.Add(int64(time.Minute))
		return &v1.WatchResponse{ListingVersion: uint64(now.Load()/int64(time.Minute)) + 1}
	})
	holder := &recordingHolder{taken: make(chan *v1.WatchResponse, 1)}
	watcher := New(Config{
		Seeds: []string{leader}, Dial: (&net.Dialer{}).DialContext,
		Now: func() time.Duration { return time.Duration(now.Load()) }, NodeCount: func() int { return 1 }, Draw: func() float64 { return 0 }, Node: holder,
	})
	require.True(t, watcher.watchOnce(t.Context()), "the leader is asked again at once")
	require.Empty(t, holder.taken)
}

// Nodes that had a leader turn to the next one over a time that grows with their number; one that has heard of
// none yet asks at once.
func TestNodesTurnToANewLeaderOverTime(t *testing.T) {
	require.Equal(t, 12*time.Millisecond, spreadFor(12))
	require.Equal(t, time.Second, spreadFor(1000))
	watcher := New(Config{Seeds: []string{"a", "b"}, Dial: (&net.Dialer{}).DialContext})
	watcher.controllers.learn(&v1.WatchResponse{Behind: true, LeaderAddress: "b"}, "a")
	require.False(t, watcher.turnsToNewLeader("b"), "it holds nothing")
	watcher.led = "a"
	require.True(t, watcher.turnsToNewLeader("b"))
	require.False(t, watcher.turnsToNewLeader("a"), "it led before")
	watcher.controllers.failed()
	require.False(t, watcher.turnsToNewLeader("b"), "one that is tried for want of another")
}

// An answer that cannot be used is not asked for again at once: a leader of another build would give the same again, as
// fast as it is asked.
func TestWatcherPausesAfterAnAnswerOfNoUse(t *testing.T) {
	leader := startController(t, func() *v1.WatchResponse { return &v1.WatchResponse{} })
	holder := &recordingHolder{taken: make(chan *v1.WatchResponse), unusable: true}
	watcher := New(Config{
		Seeds: []string{leader}, Dial: (&net.Dialer{}).DialContext,
		Now: func() time.Duration { return 0 }, NodeCount: func() int { return 1 }, Draw: func() float64 { return 0 }, Node: holder,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go watcher.Run(ctx)
	<-holder.taken
	answered := time.Now()
	<-holder.taken
	require.GreaterOrEqual(t, time.Since(answered), unusedPause)
}
