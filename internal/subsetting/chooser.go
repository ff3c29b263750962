package subsetting

// slackHalvings is by how many halvings a subset may be larger than needed, so that back ends that join or leave, or a
// zone that fails and recovers, do not change it.
const slackHalvings = 1

// Chooser selects the subset of one service's back ends. The zero value has selected none yet.
type Chooser struct {
	hasSubset bool
	subset    Subset
}

// Next returns the subset for the number of back ends of the service and the number of them that relays should know of.
func (c *Chooser) Next(backEnds, wanted int) Subset {
	needed := SubsetFor(backEnds, wanted)
	larger := needed.Halvings < c.subset.Halvings
	muchSmaller := needed.Halvings > c.subset.Halvings+slackHalvings
	if !c.hasSubset || larger || muchSmaller {
		c.hasSubset, c.subset = true, needed
	}
	return c.subset
}
