package soak

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// fewReplicas is the number of back ends with few slots, fewQueue how many requests wait for the slots of one.
	fewReplicas = 3
	fewQueue    = 1
	// fewRunTime is how long a request occupies a slot.
	fewRunTime = 60 * time.Millisecond
	// MinPressureRelays is the smallest number of relays with which the service with few slots has fewer slots than there
	// are relays.
	MinPressureRelays = fewReplicas + 1
	// requiredShare is the share of the returns as told, and of the attempts of tenants that ask for less than their
	// share, that must be served where Options.CheckReturns is true.
	requiredShare = 0.9
)

// fewSlots returns the number of slots of each back end of the service with few slots: in total fewer than relays.
func (o Options) fewSlots() int { return (o.Relays - 1) / fewReplicas }

// fewCapacity returns how many requests per second the service with few slots carries.
func (o Options) fewCapacity() float64 {
	return float64(fewReplicas*o.fewSlots()) / fewRunTime.Seconds()
}

// sharesSlots reports whether relays share the slots of services. Two of four consecutive seeds do so, with
// OtherProgram one of those that begin with it and one of those that do not.
func (o Options) sharesSlots() bool { return o.Pressure && (o.Seed^o.Seed>>1)&1 == 1 }

// checksReturns reports whether returns as told must be served, and the owner of the slots is free of faults.
func (o Options) checksReturns() bool { return o.CheckReturns && o.sharesSlots() }

// bounds returns the bounds of the run's rules.
func (o Options) bounds() history.Bounds {
	chosen := bounds
	chosen.NoMixedStreams = o.resumesLater()
	if o.checksReturns() {
		chosen.ReturnShare, chosen.TenantShare = requiredShare, requiredShare
	}
	return chosen
}

// startFewReplicas starts the back ends with few slots.
func (s *site) startFewReplicas() error {
	for number := range fewReplicas {
		replica, err := standin.StartReplica(standin.ReplicaOptions{
			Service: standin.ServiceFew, Zone: s.zone(number), Address: hostPort(address(groupFew, number), portOuter), Slots: s.options.fewSlots(), Queue: fewQueue,
			RunTime: fewRunTime, UsualSpeed: s.usualSpeed(1), Seed: s.options.Seed + uint64(number), List: s.list, Recorder: s.recorder,
			ReuseID: !s.options.FirstFormatOnly && number%2 == 0,
		})
		if err != nil {
			return err
		}
		s.few = append(s.few, replica)
	}
	return nil
}

// slotOwners returns the relay that owns the slots of the service with few slots, and its deputy, as relays of this
// build choose them when all are listed: by the same hash as internal/relay/slots.
func (s *site) slotOwners() []*relayProcess {
	byAddress, addresses := map[string]*relayProcess{}, make([]string, 0, len(s.relays))
	for _, relay := range s.relays {
		byAddress[relay.peers] = relay
		addresses = append(addresses, relay.peers)
	}
	var owners []*relayProcess
	for _, owner := range cell.Owners(cell.HashEngine(standin.ServiceFew), addresses, 2) {
		owners = append(owners, byAddress[owner])
	}
	return owners
}
