package upstream

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

// acceptedConnections is a listener that keeps the connections that it has accepted.
type acceptedConnections struct {
	*net.TCPListener
	mutex    sync.Mutex
	accepted []*net.TCPConn
}

// Accept implements net.Listener.
func (l *acceptedConnections) Accept() (net.Conn, error) {
	connection, err := l.AcceptTCP()
	if err == nil {
		l.mutex.Lock()
		l.accepted = append(l.accepted, connection)
		l.mutex.Unlock()
	}
	return connection, err
}

// silence makes all connections that are open now ignore everything for good; later ones work.
func (l *acceptedConnections) silence(t *testing.T) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, connection := range l.accepted {
		require.NoError(t, silence.Begin(connection))
	}
	return len(l.accepted)
}

// Guards against a pool of connections to a back end that carry nothing any more and that nobody detects: each of them costs a
// request, one after the other, although new connections work.
func TestPooledConnectionsThatCarryNothingAnyMoreAreReplaced(t *testing.T) {
	const (
		pooled = 16
		// detectedAfter is the time by which a relay's connections to back ends are given up while nothing is sent: 5 s without an
		// acknowledgement, and two intervals of the probes.
		detectedAfter = 7 * time.Second
	)
	tcp, err := silence.Listen()
	require.NoError(t, err)
	listener := &acceptedConnections{TCPListener: tcp}
	wait := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/wait" {
			<-wait
		}
		echo(writer, request)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	client, err := NewClient(Options{}) // the dialer of the product
	require.NoError(t, err)
	t.Cleanup(client.Close)
	exchange := func(target string, limit time.Duration) *Failure {
		answer, _, failure := client.Do(Request{
			Address: tcp.Addr().String(), Method: http.MethodGet, Target: target, Exchange: NewExchange(), Deadline: time.Now().Add(limit),
		})
		if answer != nil {
			_, _ = io.Copy(io.Discard, answer) // a connection is pooled once the answer has been read
			answer.Close()
		}
		return failure
	}
	var waiting sync.WaitGroup
	for range pooled {
		waiting.Go(func() { require.Nil(t, exchange("/wait", 10*time.Second)) })
	}
	require.Eventually(t, func() bool {
		listener.mutex.Lock()
		defer listener.mutex.Unlock()
		return len(listener.accepted) == pooled
	}, 5*time.Second, time.Millisecond)
	close(wait)
	waiting.Wait()
	require.Equal(t, pooled, listener.silence(t))
	time.Sleep(detectedAfter)
	failed := 0
	for range pooled {
		if exchange("/", 300*time.Millisecond) != nil {
			failed++
		}
	}
	require.Zero(t, failed, "of %d requests, %v after the connections had ceased to carry anything", pooled, detectedAfter)
}
