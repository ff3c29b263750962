package subsetting

import "github.com/cespare/xxhash/v2"

// mostHalvings is the most by which a part may be smaller than all.
const mostHalvings = 30

// Subset is a part of a service's back ends: one half to the power of Halvings of them. The zero value is
// all of them.
type Subset struct {
	Halvings int
}

// SubsetFor returns the smallest part of so many back ends that has as many as are wanted.
func SubsetFor(backEnds, wanted int) Subset {
	part := Subset{}
	for part.Halvings < mostHalvings && backEnds>>(part.Halvings+1) >= wanted {
		part.Halvings++
	}
	return part
}

// Contains reports whether the back end at an address belongs to the part. A larger part holds all that a
// smaller one holds.
func (p Subset) Contains(address string) bool {
	return xxhash.Sum64String(address)>>(64-p.Halvings) == 0
}
