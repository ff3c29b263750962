package leaderwatch

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// firstSilencer is a listener whose first connection falls silent for good on request, while later ones work.
type firstSilencer struct {
	*net.TCPListener
	first    atomic.Pointer[net.TCPConn]
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *firstSilencer) Accept() (net.Conn, error) {
	connection, err := l.AcceptTCP()
	if err == nil && l.accepted.Add(1) == 1 {
		l.first.Store(connection)
	}
	return connection, err
}

// Guards against a node without updates because its connection to the leader is lost without a reset: all calls, even
// after their time limits, went to that connection until the kernel dropped it, although new connections worked.
func TestWatcherLeavesALostConnection(t *testing.T) {
	// A relay's view counts as old after 1.2 to 1.8 s without contact.
	const maximumGap = 3 * time.Second
	listener, err := silence.Listen()
	require.NoError(t, err)
	silencer := &firstSilencer{TCPListener: listener}
	routes := http.NewServeMux()
	routes.Handle(hazelpitchv1connect.NewNodeServiceHandler(&fakeController{answer: func() *v1.WatchResponse { return &v1.WatchResponse{} }}))
	server := &http.Server{Handler: routes, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(silencer) }()
	t.Cleanup(func() { _ = server.Close() })
	node := &recordingNode{responses: make(chan *v1.WatchResponse)}
	watcher := New(Config{
		Seeds: []string{listener.Addr().String()}, Dial: dialing.WithDeadPeerDetection(),
		Now: func() time.Duration { return 0 }, NodeCount: func() int { return 1 }, Draw: func() float64 { return 0 }, Node: node,
	})
	go watcher.Run(t.Context())
	<-node.responses
	require.NoError(t, silence.Begin(silencer.first.Load()))
	lostAt := time.Now()
	for silencer.accepted.Load() < 2 {
		select {
		case <-node.responses:
		case <-time.After(time.Millisecond):
		}
	}
	require.Less(t, time.Since(lostAt), maximumGap)
}
