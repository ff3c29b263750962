package cell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owners returns the addresses of up to count relays that own a cell, the owner first and then its deputies. They
// are chosen by rendezvous hashing, so that a relay that joins or leaves changes the owners of few cells.
func Owners(cell uint64, relays []string, count int) []string {
	type scoredRelay struct {
		relay string
		score uint64
	}
	scored := make([]scoredRelay, len(relays))
	for index, relay := range relays {
		scored[index] = scoredRelay{relay: relay, score: mix(cell, xxhash.Sum64String(relay))}
	}
	slices.SortFunc(scored, func(a, b scoredRelay) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return cmp.Compare(a.relay, b.relay)
	})
	owners := make([]string, 0, count)
	for _, entry := range scored[:min(count, len(scored))] {
		owners = append(owners, entry.relay)
	}
	return owners
}
