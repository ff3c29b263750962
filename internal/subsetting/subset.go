package subsetting

import "github.com/cespare/xxhash/v2"

// maxHalvings bounds Subset.Halvings.
const maxHalvings = 30

// Subset is a subset of a service's back ends: one half to the power of Halvings of them. The zero value contains all of
// them.
type Subset struct {
	Halvings int
}

// SubsetFor returns the smallest subset of a number of back ends that contains the wanted number of them.
func SubsetFor(backEnds, wanted int) Subset {
	subset := Subset{}
	for subset.Halvings < maxHalvings && backEnds>>(subset.Halvings+1) >= wanted {
		subset.Halvings++
	}
	return subset
}

// Contains reports whether the back end at an address belongs to the subset. A larger subset contains all back ends of
// a smaller one.
func (s Subset) Contains(address string) bool {
	return xxhash.Sum64String(address)>>(64-s.Halvings) == 0
}
