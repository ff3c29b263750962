package fleet

import (
	"fmt"
	"net"

	"github.com/gravitational/trace"
)

const (
	// firstNetwork and lastNetwork bound the second number of networks that fleets
	// take for themselves.
	firstNetwork = 64
	lastNetwork  = 250
	// guardPort is held on a network's first address while a fleet uses it.
	guardPort = 6999
)

// networkReservation keeps other fleets of this machine off a network.
type networkReservation struct {
	network string
	guard   net.Listener
}

// reserve takes a network for one fleet; it fails when another fleet has it.
func reserve(network string) (*networkReservation, error) {
	guard, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, guardPort))
	if err != nil {
		return nil, trace.Wrap(err, "network %s is in use by another fleet; choose one with --network 127.N", network)
	}
	return &networkReservation{network: network, guard: guard}, nil
}

// reserveAny takes the first network that no other fleet has.
func reserveAny() (*networkReservation, error) {
	for number := firstNetwork; number <= lastNetwork; number++ {
		taken, err := reserve(fmt.Sprintf("127.%d", number))
		if err == nil {
			return taken, nil
		}
	}
	return nil, trace.LimitExceeded("every network from 127.%d to 127.%d is in use", firstNetwork, lastNetwork)
}

func (r *networkReservation) release() { _ = r.guard.Close() }
