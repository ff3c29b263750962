package scale

import (
	"net"
	"sync"
)

// engineListener remembers its connections so that they can be broken.
type engineListener struct {
	net.Listener
	mutex sync.Mutex
	conns map[net.Conn]struct{}
	dead  bool
}

// Accept returns the next connection.
func (l *engineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.dead {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	tracked := &engineConn{Conn: conn, listener: l}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

func (l *engineListener) breakAll() {
	_ = l.Listener.Close()
	l.mutex.Lock()
	l.dead = true
	conns := make([]net.Conn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	l.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

type engineConn struct {
	net.Conn
	listener *engineListener
}

// Close closes and forgets the connection.
func (c *engineConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// silent drops the server's messages about broken connections.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}
