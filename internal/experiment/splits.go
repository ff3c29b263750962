package experiment

import (
	"cmp"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// allSplits lists the splits of a service's engines that satisfy its bounds over all zones
// and can serve a request.
func allSplits(service *scenario.Service) []planner.Split {
	total := engineCount(service)
	var splits []planner.Split
	for prefill := 0; prefill <= total; prefill++ {
		for decode := 0; decode <= total-prefill; decode++ {
			split := planner.Split{Prefill: prefill, Decode: decode, Mixed: total - prefill - decode}
			if canServe(split) && withinBounds(split, service) {
				splits = append(splits, split)
			}
		}
	}
	return splits
}

func engineCount(service *scenario.Service) int {
	total := 0
	for _, count := range service.Engines {
		total += count
	}
	return total
}

func canServe(split planner.Split) bool {
	return split.Mixed > 0 || (split.Prefill > 0 && split.Decode > 0)
}

func withinBounds(split planner.Split, service *scenario.Service) bool {
	for _, bound := range service.Bounds {
		if bound.Zone != "" {
			continue
		}
		count := split.Count(bound.Role)
		if count < bound.Minimum || (bound.Maximum > 0 && count > bound.Maximum) {
			return false
		}
	}
	return true
}

// assignRoles assigns the roles of a split to engines, each role spread evenly over the zones.
func assignRoles(split planner.Split, engines []scenario.Engine) []enginecontract.Role {
	order := make([]int, len(engines))
	rank := make([]int, len(engines)) // position within the zone
	counts := map[string]int{}
	for i, engine := range engines {
		order[i], rank[i] = i, counts[engine.Zone]
		counts[engine.Zone]++
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rank[a], rank[b]) })
	roles := make([]enginecontract.Role, len(engines))
	assigned := planner.Split{}
	for place, index := range order {
		role := mostUnderassigned(split, assigned, place+1, len(engines))
		roles[index] = role
		assigned = assigned.Add(role, 1)
	}
	return roles
}

// mostUnderassigned returns the role to assign to the next engine. The next engine is at position places of total engines,
// counted from 1. The expected number of a role's engines is the role's number in split times places/total. The returned
// role is the one whose number in assigned is furthest below the expected number. Roles that have reached their number in
// split are not returned; if all roles have reached it, the result is RoleMixed.
func mostUnderassigned(split, assigned planner.Split, places, total int) enginecontract.Role {
	best, most := enginecontract.RoleMixed, -1.0
	for _, role := range planner.Roles() {
		if assigned.Count(role) >= split.Count(role) {
			continue
		}
		shortfall := float64(split.Count(role)*places)/float64(total) - float64(assigned.Count(role))
		if most < 0 && shortfall < 0 {
			shortfall = 0
		}
		if shortfall > most {
			best, most = role, shortfall
		}
	}
	return best
}

// initialSplit returns the split of the scenario's initial roles of one service.
func initialSplit(declared *scenario.Scenario, service string) planner.Split {
	split := planner.Split{}
	for _, engine := range declared.Engines() {
		if engine.Service == service {
			split = split.Add(engine.Role, 1)
		}
	}
	return split
}
