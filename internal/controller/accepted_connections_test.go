package controller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
)

const (
	// releasedAfter is the time by which a server must have closed the connections of peers that fell silent.
	releasedAfter = 20 * time.Second
	// silentPeersPerCase is the number of connections of each kind that fall silent.
	silentPeersPerCase = 4
	// largeAnswer is the size of an answer that does not fit into the buffers of a connection.
	largeAnswer = 32 << 20
)

// openCounter is a listener that counts the accepted connections that are open.
type openCounter struct {
	net.Listener
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *openCounter) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConnection{Conn: connection, closed: func() { l.open.Add(-1) }}, nil
}

// countedConnection is a connection of an openCounter.
type countedConnection struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *countedConnection) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// Guards against connections that pile up at a controller's ports while peers fall silent again and again: each stayed open
// for minutes, and a handler whose answer nobody acknowledges for a quarter of an hour.
func TestConnectionsOfSilentPeersAreReleased(t *testing.T) {
	t.Parallel()
	for name, begin := range map[string]func(t *testing.T, peer net.Conn){
		"idle": func(t *testing.T, peer net.Conn) {
			_, err := io.WriteString(peer, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			answer, err := http.ReadResponse(bufio.NewReader(peer), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, answer.StatusCode)
		},
		"within a body": func(t *testing.T, peer net.Conn) {
			_, err := fmt.Fprintf(peer, "PUT /small HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nthe beginning", largeAnswer)
			require.NoError(t, err)
		},
		"within an answer": func(t *testing.T, peer net.Conn) {
			_, err := io.WriteString(peer, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			_, err = peer.Read(make([]byte, 1))
			require.NoError(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := startCountedServer(t)
			var peers []net.Conn
			for range silentPeersPerCase {
				dialer := net.Dialer{KeepAlive: -1} // the silent peer sends nothing, not even a probe
				peer, err := dialer.Dial("tcp", listener.Addr().String())
				require.NoError(t, err)
				defer peer.Close()
				begin(t, peer)
				peers = append(peers, peer)
			}
			require.Eventually(t, func() bool { return listener.open.Load() == silentPeersPerCase }, releasedAfter, time.Millisecond)
			for _, peer := range peers {
				require.NoError(t, silence.Begin(peer.(*net.TCPConn)))
			}
			began := time.Now()
			require.Eventually(t, func() bool { return listener.open.Load() == 0 }, releasedAfter, 10*time.Millisecond)
			t.Logf("the connections are closed after %v", time.Since(began))
		})
	}
}

// startCountedServer serves as a controller does, on the listener of a controller.
func startCountedServer(t *testing.T) *openCounter {
	t.Helper()
	listener, err := Options{}.withDefaults().Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counter := &openCounter{Listener: listener}
	routes := http.NewServeMux()
	routes.HandleFunc("/small", func(_ http.ResponseWriter, request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) })
	routes.HandleFunc("/large", func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(make([]byte, largeAnswer)) })
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() {
		_ = serveHTTP(ctx, counter, routes, nil, newServerLogger(logring.New("controller", settings.Log{RingEntries: 16})))
	})
	t.Cleanup(func() { cancel(); serving.Wait() })
	return counter
}
