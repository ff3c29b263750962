package property

import (
	"context"
	"net"
	"sync"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
)

// backlog bounds the connections that wait to be accepted at one listener.
const backlog = 256

// network connects the hosts of a run by in-memory connections. A host is identified by the host part of its addresses.
// It is safe for concurrent use.
type network struct {
	mutex     sync.Mutex
	listeners map[string]*listener // by address
	links     map[*link]struct{}
	isolated  map[string]bool // by host
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, links: map[*link]struct{}{}, isolated: map[string]bool{}}
}

// link is one open connection.
type link struct {
	from, to  string // hosts
	near, far net.Conn
}

func (l *link) close() {
	_ = l.near.Close() // closing a pipe never fails
	_ = l.far.Close()
}

// listen opens a listener. It fails when the address is in use.
func (n *network) listen(_, address string) (net.Listener, error) {
	parsed, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[address] != nil {
		return nil, trace.AlreadyExists("address %s is already in use", address)
	}
	opened := &listener{network: n, address: parsed, accepted: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[address] = opened
	return opened, nil
}

// dialFrom returns a dialer for connections of one host.
func (n *network) dialFrom(host string) dialing.Dial {
	return func(_ context.Context, _, address string) (net.Conn, error) { return n.dial(host, address) }
}

func (n *network) dial(from, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	target := n.listeners[address]
	if target == nil || n.isolated[from] || n.isolated[to] {
		return nil, trace.ConnectionProblem(nil, "%s refuses connections", address)
	}
	near, far := net.Pipe()
	opened := &link{from: from, to: to, near: near, far: far}
	select {
	case target.accepted <- &conn{Conn: far, network: n, link: opened, local: target.address}:
	default:
		return nil, trace.ConnectionProblem(nil, "%s has too many connections that wait to be accepted", address)
	}
	n.links[opened] = struct{}{}
	return &conn{Conn: near, network: n, link: opened, local: &net.TCPAddr{IP: net.ParseIP(from)}}, nil
}

// cut breaks the open connections between two hosts and returns their number. An empty second host means all hosts.
func (n *network) cut(one, other string) int {
	var broken []*link
	n.mutex.Lock()
	for each := range n.links {
		if connects(each, one, other) || connects(each, other, one) {
			broken = append(broken, each)
		}
	}
	n.mutex.Unlock()
	for _, each := range broken {
		each.close()
		n.forget(each)
	}
	return len(broken)
}

func connects(l *link, from, to string) bool {
	return (from == "" || l.from == from) && (to == "" || l.to == to)
}

// isolate breaks every connection of a host and refuses new ones until heal is called.
func (n *network) isolate(host string) {
	n.mutex.Lock()
	n.isolated[host] = true
	n.mutex.Unlock()
	n.cut(host, "")
}

func (n *network) heal(host string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.isolated, host)
}

func (n *network) forget(l *link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.links, l)
}

// conn is one end of a link.
type conn struct {
	net.Conn
	network *network
	link    *link
	local   net.Addr
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(c.link.from)}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.forget(c.link)
	return c.Conn.Close()
}

// listener is an open listener at one address.
type listener struct {
	network  *network
	address  *net.TCPAddr
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case opened := <-l.accepted:
		return opened, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It closes the connections that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mutex.Lock()
		delete(l.network.listeners, l.address.String())
		l.network.mutex.Unlock()
		close(l.closed)
		for {
			select {
			case waiting := <-l.accepted:
				_ = waiting.Close() // closing a pipe never fails
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }
