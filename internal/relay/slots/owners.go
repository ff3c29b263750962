package slots

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hazelpitch/hazelpitch/internal/cell"
)

// ownerCount is how many relays grant the slots of a service: the owner and its deputy.
const ownerCount = 2

// maxRankedServices bounds the services whose owners are remembered.
const maxRankedServices = 1024

// owners says which relays own the slots of services. It is safe for concurrent use.
type owners struct {
	mutex  sync.Mutex
	relays []string
	// byService holds the owners of services by rank, as far as they were asked for since the relays have changed.
	byService map[string][]string
}

// setRelays replaces the relays among which the owners are chosen. It reports whether they have changed.
func (o *owners) setRelays(addresses []string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if slices.Equal(o.relays, addresses) {
		return false
	}
	o.relays, o.byService = slices.Clone(addresses), map[string][]string{}
	return true
}

// of returns the addresses of the relays that grant the slots of a service, the owner first. The caller must not modify
// the result.
func (o *owners) of(service string) []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.relays) == 0 {
		return nil
	}
	ranked, isKnown := o.byService[service]
	if !isKnown {
		if len(o.byService) >= maxRankedServices {
			clear(o.byService)
		}
		ranked = cell.Owners(xxhash.Sum64String(service), o.relays, ownerCount)
		o.byService[service] = ranked
	}
	return ranked
}

// rankOf returns the rank of a relay among the owners of a service: 0 for the owner, -1 for a relay that is none.
func (o *owners) rankOf(service, address string) int { return slices.Index(o.of(service), address) }
