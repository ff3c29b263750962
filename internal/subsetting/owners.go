package subsetting

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCandidates is the smallest number of relays that may own cells, if there are as many.
	minCandidates = 64
	// enginesPerCandidate is the number of engines per further candidate: four relays for a cell of 16 engines, of
	// which one owns it and one is its deputy, so that few relays own more than one cell.
	enginesPerCandidate = 4
)

// OwnerCandidates returns the sorted addresses of the relays that may own the cells of a number of engines. All relays know
// these and no others, so that no relay has to be informed when one of the others joins or leaves. A candidate that
// leaves is replaced by one other, and the rest stay. Their number is a power of two, so that single engines do not
// change it.
func OwnerCandidates(relays []string, engines int) []string {
	count := minCandidates
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
