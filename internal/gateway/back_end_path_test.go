package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// pathFault is the state of the network path from a gateway to all back ends.
type pathFault int

const (
	pathSound pathFault = iota
	// pathHangs: nothing arrives in either direction, neither on open connections nor on new ones.
	pathHangs
	// pathResets: open connections were reset, and new ones are refused.
	pathResets
	// pathRefusesNew: open connections live on, and new ones are refused.
	pathRefusesNew
)

// String returns the name of the test with the fault.
func (f pathFault) String() string {
	return [...]string{"sound", "connections hang", "connections are reset", "new connections are refused"}[f]
}

// backEndPath is the network path between one gateway and all back ends, which a test can break. Its Dial leaves the
// connections to the controller alone.
type backEndPath struct {
	controller string
	// dials counts the attempts to connect to back ends.
	dials atomic.Int64

	mutex sync.Mutex
	fault pathFault
	// changed is closed when the fault changes.
	changed chan struct{}
	open    map[*pathConnection]bool
}

func newBackEndPath(controller string) *backEndPath {
	return &backEndPath{controller: controller, changed: make(chan struct{}), open: map[*pathConnection]bool{}}
}

// set changes the state of the path.
func (p *backEndPath) set(fault pathFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
	close(p.changed)
	p.changed = make(chan struct{})
	if fault != pathResets {
		return
	}
	for connection := range p.open {
		_ = connection.SetLinger(0)
		_ = connection.TCPConn.Close()
	}
	clear(p.open)
}

// state returns the state of the path, and a channel that is closed when it changes.
func (p *backEndPath) state() (pathFault, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault, p.changed
}

// Dial opens a connection. Like a machine behind a cut, it hangs until the context ends, or is refused.
func (p *backEndPath) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if address == p.controller {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	p.dials.Add(1)
	for {
		fault, changed := p.state()
		switch fault {
		case pathSound:
			return p.connect(ctx, network, address)
		case pathResets, pathRefusesNew:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		case <-changed:
		}
	}
}

func (p *backEndPath) connect(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	connection := &pathConnection{TCPConn: inner.(*net.TCPConn), path: p, closed: make(chan struct{}), moved: make(chan struct{})}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open[connection] = true
	return connection, nil
}

// pathConnection is a connection to a back end over a path that may hang.
type pathConnection struct {
	*net.TCPConn
	path *backEndPath

	mutex    sync.Mutex
	deadline time.Time
	// moved is closed when the deadline changes.
	moved     chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// SetDeadline implements net.Conn.
func (c *pathConnection) SetDeadline(deadline time.Time) error {
	c.recordDeadline(deadline)
	return c.TCPConn.SetDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (c *pathConnection) SetReadDeadline(deadline time.Time) error {
	c.recordDeadline(deadline)
	return c.TCPConn.SetReadDeadline(deadline)
}

func (c *pathConnection) recordDeadline(deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	close(c.moved)
	c.moved = make(chan struct{})
}

// Read returns nothing that arrives while the path hangs.
func (c *pathConnection) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if err == nil {
		err = c.awaitPath()
	}
	if err != nil {
		return 0, err
	}
	return n, nil
}

// Write returns at once, as the kernel's buffer takes the bytes; they are sent when the path is sound again.
func (c *pathConnection) Write(bytes []byte) (int, error) {
	if fault, _ := c.path.state(); fault != pathHangs {
		return c.TCPConn.Write(bytes)
	}
	held := append([]byte(nil), bytes...)
	go func() {
		if c.awaitPath() == nil {
			_, _ = c.TCPConn.Write(held) // the gateway may have closed the connection
		}
	}()
	return len(bytes), nil
}

// awaitPath waits while the path hangs, until the connection's deadline or its end.
func (c *pathConnection) awaitPath() error {
	for {
		fault, changed := c.path.state()
		if fault != pathHangs {
			return nil
		}
		c.mutex.Lock()
		deadline, moved := c.deadline, c.moved
		c.mutex.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-changed:
		case <-moved:
		}
	}
}

// Close implements net.Conn.
func (c *pathConnection) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.path.mutex.Lock()
	delete(c.path.open, c)
	c.path.mutex.Unlock()
	return c.TCPConn.Close()
}
