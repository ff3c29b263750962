package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// dialFault is what happens to connections that a relay opens to back ends.
type dialFault int

const (
	dialsOpen dialFault = iota
	dialsRefused
	dialsHang
)

// String returns the name of the test with the fault.
func (f dialFault) String() string {
	return []string{"dials open", "dials are refused", "dials hang"}[f]
}

// breakablePath is the network path of one relay. A test can break it for all back ends or for some.
type breakablePath struct {
	mutex sync.Mutex
	// faults are the faults by address; those that are not listed have the fault of all, unless they are other relays.
	faults map[string]dialFault
	all    dialFault
	relays map[string]bool
	open   map[net.Conn]bool
	// hanging counts the attempts that hang now, and attempts all of them by address.
	hanging  atomic.Int64
	attempts map[string]int
}

// breakablePathOf replaces the path of a relay by one that can be broken.
func breakablePathOf(relay *testRelay, relays ...*testRelay) *breakablePath {
	path := &breakablePath{faults: map[string]dialFault{}, relays: map[string]bool{}, open: map[net.Conn]bool{}, attempts: map[string]int{}}
	for _, each := range relays {
		path.relays[each.datagrams.Address] = true
	}
	relay.exchanger.dial = path.dial
	return path
}

// set changes the fault of all back ends.
func (p *breakablePath) set(fault dialFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.all = fault
}

// setFor changes the fault of some back ends.
func (p *breakablePath) setFor(fault dialFault, backEnds ...*scriptedBackEnd) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, each := range backEnds {
		p.faults[each.entry.Address] = fault
	}
}

// reset resets the open connections to back ends.
func (p *breakablePath) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
	}
	clear(p.open)
}

// attemptsAt returns how often the relay has tried to open a connection to the address.
func (p *breakablePath) attemptsAt(address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.attempts[address]
}

func (p *breakablePath) faultAt(address string) dialFault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.attempts[address]++
	if fault, isSet := p.faults[address]; isSet {
		return fault
	}
	if p.relays[address] {
		return dialsOpen
	}
	return p.all
}

func (p *breakablePath) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch p.faultAt(address) {
	case dialsRefused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case dialsHang:
		p.hanging.Add(1)
		defer p.hanging.Add(-1)
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.relays[address] {
		p.open[connection] = true
	}
	return connection, nil
}

// newRelayGroup starts relays that know each other and accept forwarded requests, with the same configuration and back ends.
func newRelayGroup(t *testing.T, count int, routeConfig serving.Route, tenants []serving.Tenant, backEnds ...*scriptedBackEnd) ([]*testRelay, []*breakablePath) {
	t.Helper()
	relays := make([]*testRelay, count)
	for index := range relays {
		relays[index] = newKeyedRelay(t, routeConfig, tenants, backEnds...)
	}
	return relays, linkRelays(t, relays...)
}

// linkRelays lets relays know each other and accept forwarded requests. It returns the path of each.
func linkRelays(t *testing.T, relays ...*testRelay) []*breakablePath {
	t.Helper()
	var addresses []string
	var paths []*breakablePath
	for _, relay := range relays {
		relay.listenForForwarded(Options{Listen: func(string, string) (net.Listener, error) { return relay.reservedListener, nil }})
		go func() { _ = relay.acceptForwarded(t.Context(), relay.forwardListener) }()
		addresses = append(addresses, relay.datagrams.Address)
	}
	for _, relay := range relays {
		relay.setRelays(addresses, nil)
		relay.setRelayFormats(addresses, slices.Repeat([]uint32{uint32(formats.Newest)}, len(addresses)))
		paths = append(paths, breakablePathOf(relay, relays...))
		go relay.path.run(t.Context())
	}
	return paths
}

// stopForwarding closes what a relay has open for forwarded requests, as when its process ends.
func (r *testRelay) stopForwarding() {
	_ = r.forwardListener.Close()
	r.connections.mutex.Lock()
	defer r.connections.mutex.Unlock()
	for connection := range r.connections.isServing {
		if connection.isFromRelay {
			_ = connection.Close()
		}
	}
}

// loseAllPaths lets the relay find out that it has no path to back ends.
func (r *testRelay) loseAllPaths(t *testing.T, path *breakablePath, fault dialFault) {
	t.Helper()
	path.set(fault)
	path.reset()
	for _, backEnds := range r.view.Load().byService {
		for _, backEnd := range backEnds {
			backEnd.pool.CloseIdle()
			if !r.path.pathTo("service").IsLost {
				_, _ = r.exchanger.open(backEnd, pathCheckTimeout)
			}
		}
	}
	require.Eventually(t, func() bool { return r.path.pathTo("service").IsLost }, 5*time.Second, time.Millisecond)
}
