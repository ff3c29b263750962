package replicaplan

import "cmp"

// Group identifies the replicas of one kind of a service in a zone.
type Group struct {
	Service string
	Zone    string
	// Spot replicas are cheaper, and the platform may reclaim them.
	Spot bool
}

// Compare orders groups by service, zone and kind.
func (g Group) Compare(other Group) int {
	kind := 0
	if g.Spot != other.Spot {
		kind = -1
		if g.Spot {
			kind = 1
		}
	}
	return cmp.Or(cmp.Compare(g.Service, other.Service), cmp.Compare(g.Zone, other.Zone), kind)
}
