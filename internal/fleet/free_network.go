package fleet

import (
	"fmt"
	"net"

	"github.com/gravitational/trace"
)

const (
	// firstNetwork and lastNetwork limit the second number of the networks that fleets
	// reserve for themselves.
	firstNetwork = 64
	lastNetwork  = 250
	// guardPort is listened on at a network's first address while a fleet uses the network.
	guardPort = 6999
)

// networkReservation keeps other fleets on this machine from using a network.
type networkReservation struct {
	network string
	guard   net.Listener
}

// reserveNetwork reserves a network for one fleet; it fails when another fleet uses it.
func reserveNetwork(network string) (*networkReservation, error) {
	guard, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, guardPort))
	if err != nil {
		return nil, trace.Wrap(err, "network %s is in use by another fleet; choose one with --network 127.N", network)
	}
	return &networkReservation{network: network, guard: guard}, nil
}

// reserveFreeNetwork reserves the first network that no other fleet uses.
func reserveFreeNetwork() (*networkReservation, error) {
	for number := firstNetwork; number <= lastNetwork; number++ {
		reservation, err := reserveNetwork(fmt.Sprintf("127.%d", number))
		if err == nil {
			return reservation, nil
		}
	}
	return nil, trace.LimitExceeded("every network from 127.%d to 127.%d is in use", firstNetwork, lastNetwork)
}

func (r *networkReservation) release() { _ = r.guard.Close() }
