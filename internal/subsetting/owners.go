package subsetting

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastCandidates is the least number of relays that may own cells, where there are so many.
	leastCandidates = 64
	// enginesPerCandidate is how many engines there are for each further one: four relays for a cell of
	// 16, of which one owns it and one stands in, so that few own more than one cell.
	enginesPerCandidate = 4
)

// OwnerCandidates returns the relays, by their addresses, that may own the cells of so many engines, sorted.
// All relays know these and no other, so that one of the others that comes or goes is no news to
// anybody. One that goes is replaced by one, and all others stay; their number is a power of two, so
// that an engine more or less changes none.
func OwnerCandidates(relays []string, engines int) []string {
	count := leastCandidates
	for count*enginesPerCandidate < engines {
		count *= 2
	}
	chosen := slices.Clone(relays)
	if len(chosen) > count {
		slices.SortFunc(chosen, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
		})
		chosen = chosen[:count]
	}
	slices.Sort(chosen)
	return chosen
}
