package silence

import (
	"io"
	"net"
	"sync/atomic"
)

// SwallowingListener swallows everything on its first connection, as a proxy does that acknowledges data and passes nothing on;
// it passes the later ones to the server.
type SwallowingListener struct {
	net.Listener
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *SwallowingListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil || l.accepted.Add(1) > 1 {
			return connection, err
		}
		go func() { _, _ = io.Copy(io.Discard, connection); _ = connection.Close() }()
	}
}

// Accepted returns the number of connections so far, the first one included.
func (l *SwallowingListener) Accepted() int { return int(l.accepted.Load()) }
