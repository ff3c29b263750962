package scale

import (
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// CutZone cuts a zone from all others.
func (f *Fleet) CutZone(zone int) error { return f.CutZones([]int{zone}) }

// CutRegion cuts a region from all others.
func (f *Fleet) CutRegion(region int) error { return f.CutZones(f.Plan.RegionZones(region)) }

// CutZones cuts a group of zones from the rest; inside the group all reach each other.
// Cuts add up until Heal.
func (f *Fleet) CutZones(group []int) error {
	inside := map[int]bool{}
	for _, zone := range group {
		inside[zone] = true
	}
	var cuts []Cut
	for _, zone := range group {
		for other := range f.Plan.Zones {
			if !inside[other] {
				cuts = append(cuts, Cut{One: zone, Other: other})
			}
		}
	}
	return f.addCuts(cuts)
}

// CutRegions cuts two regions from each other; both still reach all others.
func (f *Fleet) CutRegions(one, other int) error {
	var cuts []Cut
	for _, zone := range f.Plan.RegionZones(one) {
		for _, far := range f.Plan.RegionZones(other) {
			cuts = append(cuts, Cut{One: zone, Other: far})
		}
	}
	return f.addCuts(cuts)
}

func (f *Fleet) addCuts(cuts []Cut) error {
	f.mutex.Lock()
	f.cuts = append(f.cuts, cuts...)
	f.mutex.Unlock()
	return f.applyCuts()
}

// Heal ends all cuts.
func (f *Fleet) Heal() error {
	f.mutex.Lock()
	f.cuts = nil
	f.mutex.Unlock()
	return f.applyCuts()
}

func (f *Fleet) applyCuts() error {
	f.mutex.Lock()
	command := Command{Verb: VerbCut, Cuts: append([]Cut{}, f.cuts...)}
	f.mutex.Unlock()
	var group errgroup.Group
	group.Go(func() error { return f.engines.send(command) })
	for _, controller := range f.controllers {
		group.Go(func() error { return controller.send(command) })
	}
	return trace.Wrap(group.Wait())
}

// NodesIn lists the nodes of a zone.
func (f *Fleet) NodesIn(zone int) []*Node {
	var nodes []*Node
	for _, node := range f.Nodes {
		if node.Zone == zone {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// EnginesIn lists the names of the engines of a zone.
func (f *Fleet) EnginesIn(zone int) []string {
	var names []string
	for replica := range f.Plan.Replicas {
		if f.Plan.ReplicaZone(replica) == zone {
			names = append(names, ReplicaName(replica))
		}
	}
	return names
}
