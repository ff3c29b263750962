package fleet

import (
	"net"
	"net/netip"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/closing"
	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
)

// Topology maps pairs of addresses to the latency between them.
type Topology struct {
	clientSubnet byte
	subnets      map[byte]bool
	latency      Latency
	gate         *zonedelay.Partitioner // nil if no fault cuts anything off
	unsent       *zonedelay.PendingFlushes
}

// NewTopology returns the topology of a description.
func NewTopology(description Description) Topology {
	topology := Topology{
		clientSubnet: byte(description.ClientSubnet), latency: description.Latency, subnets: make(map[byte]bool), unsent: new(zonedelay.PendingFlushes),
	}
	if description.cutsOff() {
		topology.gate = zonedelay.NewPartitioner(description.networkPrefix())
	}
	for _, zone := range description.Zones {
		topology.subnets[byte(zone.Subnet)] = true
	}
	return topology
}

// Gate returns the partitioner that cuts addresses off from the topology's listeners; nil when no
// fault of the description is a cut-off.
func (t Topology) Gate() *zonedelay.Partitioner { return t.gate }

// unsentTimeout is how long an exiting process waits for the last bytes of its connections to be sent.
const unsentTimeout = time.Second

// WaitUnsent waits until the data of closed connections has been sent, at most unsentTimeout.
func (t Topology) WaitUnsent() { t.unsent.Wait(unsentTimeout) }

// LatencyBetween returns the one-way latency between two addresses; it is 0 if an address
// is outside the fleet, such as those of hazelbench itself.
func (t Topology) LatencyBetween(one, other netip.Addr) time.Duration {
	if !one.Is4() || !other.Is4() {
		return 0
	}
	from, to := one.As4()[2], other.As4()[2]
	switch {
	case from == to:
		return 0
	case from == t.clientSubnet || to == t.clientSubnet:
		return t.latency.ToClients
	case t.subnets[from] && t.subnets[to]:
		return t.latency.BetweenZones
	}
	return 0
}

// Listen opens a listener whose connections are delayed by the latency to the remote address.
func (t Topology) Listen(network, address string) (net.Listener, error) {
	inner, err := closing.Listen(network, address)
	if err != nil {
		return nil, err
	}
	local, err := netip.ParseAddrPort(inner.Addr().String())
	if err != nil {
		return inner, nil
	}
	latency := func(remote netip.Addr) time.Duration { return t.LatencyBetween(local.Addr(), remote.Unmap()) }
	return zonedelay.WrapPartitioned(inner, latency, t.gate, t.unsent), nil
}
