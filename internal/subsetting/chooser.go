package subsetting

// spareHalvings is by how many halvings a part may be larger than it has to be, so that back ends that come
// and go, or a zone that is lost and comes back, change nothing.
const spareHalvings = 1

// Chooser follows the part of one service's back ends that is enough. The zero value has not chosen yet.
type Chooser struct {
	chosen bool
	part   Subset
}

// Next returns the part for so many back ends of which some are wanted.
func (c *Chooser) Next(backEnds, wanted int) Subset {
	needed := SubsetFor(backEnds, wanted)
	larger := needed.Halvings < c.part.Halvings
	muchSmaller := needed.Halvings > c.part.Halvings+spareHalvings
	if !c.chosen || larger || muchSmaller {
		c.chosen, c.part = true, needed
	}
	return c.part
}
