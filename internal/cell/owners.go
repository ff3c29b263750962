package cell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owners returns up to count of the relays, by their addresses, that own a cell, the first one
// before its stand-ins. Each relay draws by rendezvous hashing, so that one that comes or goes
// changes the owners of few cells.
func Owners(cell uint64, relays []string, count int) []string {
	type drawn struct {
		relay string
		draw  uint64
	}
	draws := make([]drawn, len(relays))
	for index, relay := range relays {
		draws[index] = drawn{relay: relay, draw: mix(cell, xxhash.Sum64String(relay))}
	}
	slices.SortFunc(draws, func(a, b drawn) int {
		if order := cmp.Compare(b.draw, a.draw); order != 0 {
			return order
		}
		return cmp.Compare(a.relay, b.relay)
	})
	owners := make([]string, 0, count)
	for _, first := range draws[:min(count, len(draws))] {
		owners = append(owners, first.relay)
	}
	return owners
}
