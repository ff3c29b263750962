package scale

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

// Cut is a pair of zones that do not reach each other.
type Cut struct{ One, Other int }

// Network is the injected latencies and cuts as one process's listeners apply them. A
// cut swallows what is sent, as a network that drops packets does: callers notice by
// their deadlines. It is safe for concurrent use.
type Network struct {
	plan  Plan
	mutex sync.Mutex
	cuts  map[Cut]bool
	conns map[*cutConn]struct{}
}

// NewNetwork returns the network of a plan without cuts.
func NewNetwork(plan Plan) *Network {
	return &Network{plan: plan, cuts: map[Cut]bool{}, conns: map[*cutConn]struct{}{}}
}

// SetCuts replaces the cuts. Connections that were cut break when their cut heals.
func (n *Network) SetCuts(cuts []Cut) {
	n.mutex.Lock()
	next := map[Cut]bool{}
	for _, cut := range cuts {
		next[cut] = true
		next[Cut{One: cut.Other, Other: cut.One}] = true
	}
	n.cuts = next
	var healed []*cutConn
	for conn := range n.conns {
		switch {
		case next[conn.between]:
			conn.broken.Store(true)
		case conn.broken.Load():
			healed = append(healed, conn)
		}
	}
	n.mutex.Unlock()
	for _, conn := range healed {
		_ = conn.Close()
	}
}

// Listen opens a listener whose connections are as slow as the places are far and
// silent while they are cut.
func (n *Network) Listen(network, address string) (net.Listener, error) {
	inner, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	local, err := netip.ParseAddrPort(inner.Addr().String())
	if err != nil {
		return inner, nil
	}
	zone, known := n.plan.zoneOf(local.Addr())
	if !known {
		return inner, nil
	}
	return zonedelay.Wrap(&cutListener{Listener: inner, network: n, zone: zone}, func(remote netip.Addr) time.Duration {
		other, known := n.plan.zoneOf(remote.Unmap())
		if !known {
			return 0
		}
		return n.plan.latency(zone, other)
	}), nil
}

// cutListener wraps accepted connections so that they can be cut.
type cutListener struct {
	net.Listener
	network *Network
	zone    int
}

// Accept returns the next connection.
func (l *cutListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	remote, err := netip.ParseAddrPort(accepted.RemoteAddr().String())
	if err != nil {
		return accepted, nil
	}
	other, known := l.network.plan.zoneOf(remote.Addr().Unmap())
	if !known {
		return accepted, nil
	}
	conn := &cutConn{Conn: accepted, network: l.network, between: Cut{One: l.zone, Other: other}, closed: make(chan struct{})}
	l.network.add(conn)
	return conn, nil
}

func (n *Network) add(conn *cutConn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[conn] = struct{}{}
	conn.broken.Store(n.cuts[conn.between])
}

func (n *Network) remove(conn *cutConn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.conns, conn)
}
