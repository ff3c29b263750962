// Package crashable provides an HTTP server that can end like a killed process: its
// connections are reset at once and its address refuses new ones.
package crashable

import (
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

const (
	maxRequestBody = 16 << 20
	readBuffer     = 32 << 10
)

// Server is an HTTP server on one listener.
type Server struct {
	listener *trackingListener
	server   *fasthttp.Server
	done     chan struct{}
}

// Start serves handler on listener until Crash or Close is called.
func Start(listener net.Listener, handler fasthttp.RequestHandler) *Server {
	server := &Server{
		listener: &trackingListener{Listener: listener, open: make(map[net.Conn]struct{})},
		server: &fasthttp.Server{
			Handler:               handler,
			NoDefaultServerHeader: true,
			MaxRequestBodySize:    maxRequestBody,
			ReadBufferSize:        readBuffer,
			Logger:                discardLogger{},
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(server.done)
		_ = server.server.Serve(server.listener) // it returns when the listener is closed
	}()
	return server
}

// Crash resets every connection and stops listening, as a killed process does.
func (s *Server) Crash() {
	s.listener.resetAll()
	<-s.done
}

// Close stops listening, waits at most patience for requests to finish, and resets the
// remaining connections.
func (s *Server) Close(timeout time.Duration) error {
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Shutdown() }()
	var err error
	select {
	case err = <-stopped:
	case <-time.After(timeout):
	}
	s.listener.resetAll()
	<-s.done
	return trace.Wrap(err)
}

// trackingListener tracks its open connections.
type trackingListener struct {
	net.Listener
	mutex sync.Mutex
	open  map[net.Conn]struct{}
	dead  bool
}

func (l *trackingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: connection, listener: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.dead {
		_ = connection.Close()
		return nil, net.ErrClosed
	}
	l.open[tracked] = struct{}{}
	return tracked, nil
}

func (l *trackingListener) resetAll() {
	_ = l.Listener.Close()
	l.mutex.Lock()
	l.dead = true
	broken := make([]net.Conn, 0, len(l.open))
	for connection := range l.open {
		broken = append(broken, connection)
	}
	l.mutex.Unlock()
	for _, connection := range broken {
		ResetConnection(connection)
	}
}

// lingerer is a connection that can be reset rather than closed gracefully.
type lingerer interface{ SetLinger(seconds int) error }

// ResetConnection closes a connection with a reset; unsent data is lost.
func ResetConnection(connection net.Conn) {
	if tracked, ok := connection.(*trackedConn); ok {
		if abrupt, ok := tracked.Conn.(lingerer); ok {
			_ = abrupt.SetLinger(0)
		}
	}
	_ = connection.Close()
}

type trackedConn struct {
	net.Conn
	listener *trackingListener
}

func (c *trackedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// discardLogger drops the server's messages about reset connections, which are expected here.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
