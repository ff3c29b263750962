package slots

import (
	"net"
	"os"
	"sync"
	"time"
)

// networkDelay is how long a datagram of a fakeNetwork is under way.
const networkDelay = time.Millisecond

// fakeNetwork carries datagrams between the relays of one test in virtual time.
type fakeNetwork struct {
	mutex       sync.Mutex
	connections map[string]*fakeConnection
	// isLost says which datagrams are lost; nil for none.
	isLost func(from, to string, content []byte) bool
	// held are the datagrams from and to the relays that are paused.
	paused map[string]bool
	held   []heldDatagram
	// sentDatagrams and sentBytes count what relays send.
	sentDatagrams, sentBytes int
}

type heldDatagram struct {
	from, to string
	content  []byte
}

type receivedDatagram struct {
	from    string
	content []byte
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{connections: map[string]*fakeConnection{}, paused: map[string]bool{}}
}

func (n *fakeNetwork) connect(address string) *fakeConnection {
	connection := &fakeConnection{network: n, address: address, received: make(chan receivedDatagram, 4096), closed: make(chan struct{})}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.connections[address] = connection
	return connection
}

// send sends a datagram, unless it is lost or one of the relays is paused.
func (n *fakeNetwork) send(from, to string, content []byte) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sentDatagrams++
	n.sentBytes += len(content)
	if n.isLost != nil && n.isLost(from, to, content) {
		return
	}
	if n.paused[from] || n.paused[to] {
		n.held = append(n.held, heldDatagram{from: from, to: to, content: content})
		return
	}
	n.deliverLater(from, to, content)
}

// deliverLater delivers a datagram after networkDelay. The mutex is held.
func (n *fakeNetwork) deliverLater(from, to string, content []byte) {
	receiver := n.connections[to]
	if receiver == nil {
		return
	}
	time.AfterFunc(networkDelay, func() {
		select {
		case receiver.received <- receivedDatagram{from: from, content: content}:
		case <-receiver.closed:
		default: // a full buffer loses datagrams
		}
	})
}

// lose sets which datagrams are lost.
func (n *fakeNetwork) lose(isLost func(from, to string, content []byte) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isLost = isLost
}

// pause keeps the datagrams from and to a relay until resume, as if its machine were suspended.
func (n *fakeNetwork) pause(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.paused[address] = true
}

// resume delivers the kept datagrams.
func (n *fakeNetwork) resume(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.paused, address)
	for _, datagram := range n.held {
		n.deliverLater(datagram.from, datagram.to, datagram.content)
	}
	n.held = nil
}

// takeCounts returns the numbers of sent datagrams and bytes since the last call.
func (n *fakeNetwork) takeCounts() (datagrams, bytes int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	datagrams, bytes = n.sentDatagrams, n.sentBytes
	n.sentDatagrams, n.sentBytes = 0, 0
	return datagrams, bytes
}

// fakeConnection is one relay's socket of a fakeNetwork.
type fakeConnection struct {
	network   *fakeNetwork
	address   string
	received  chan receivedDatagram
	closeOnce sync.Once
	closed    chan struct{}
}

// ReadFrom implements net.PacketConn.
func (c *fakeConnection) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case <-c.closed:
		return 0, nil, net.ErrClosed
	case datagram := <-c.received:
		return copy(buffer, datagram.content), fakeAddress(datagram.from), nil
	}
}

// WriteTo implements net.PacketConn.
func (c *fakeConnection) WriteTo(content []byte, to net.Addr) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		c.network.send(c.address, to.String(), content)
		return len(content), nil
	}
}

// Close implements net.PacketConn.
func (c *fakeConnection) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *fakeConnection) LocalAddr() net.Addr { return fakeAddress(c.address) }

// SetDeadline, SetReadDeadline and SetWriteDeadline implement net.PacketConn; relays do not use them.
func (c *fakeConnection) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *fakeConnection) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *fakeConnection) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// fakeAddress is the address of a relay of a fakeNetwork.
type fakeAddress string

// Network implements net.Addr.
func (fakeAddress) Network() string { return "udp" }

// String implements net.Addr.
func (a fakeAddress) String() string { return string(a) }
