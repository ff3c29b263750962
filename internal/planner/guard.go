package planner

import (
	"sort"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Limits on the age of a decision's inputs.
const (
	// maxDemandAge is the age beyond which demand is too old for planning.
	maxDemandAge = 15 * time.Second
	// maxLoadAge is the age beyond which an engine's state counts as unknown.
	maxLoadAge = 15 * time.Second
	// budgetWindow is the window of Policy.ChangesPerHour.
	budgetWindow = time.Hour
)

// isDemandStale reports whether all demand reports are missing or too old.
func isDemandStale(observation Observation) bool {
	for _, demand := range observation.Demands {
		if demand.Age <= maxDemandAge {
			return false
		}
	}
	return true
}

// freshDemands returns the demands that are recent enough for planning.
func freshDemands(observation Observation) []DemandObservation {
	fresh := make([]DemandObservation, 0, len(observation.Demands))
	for _, demand := range observation.Demands {
		if demand.Age <= maxDemandAge {
			fresh = append(fresh, demand)
		}
	}
	return fresh
}

// isUnavailable reports whether an engine is changing its role or does not serve for another reason.
func isUnavailable(engine EngineObservation) bool {
	return engine.OrderOutstanding || engine.State != enginecontract.StateServing
}

// hasFreshLoad reports whether the engine's last load report is recent enough to use.
func hasFreshLoad(engine EngineObservation) bool {
	return engine.Load != nil && engine.LoadAge <= maxLoadAge
}

// countStale counts the engines without a recent load report.
func countStale(engines []EngineObservation) int {
	stale := 0
	for _, engine := range engines {
		if !hasFreshLoad(engine) {
			stale++
		}
	}
	return stale
}

// committedSplit counts engines by the role they have or are changing to. It leaves out engines that are leaving or
// have no recent report.
func committedSplit(engines []EngineObservation) Split {
	split := Split{}
	for _, engine := range engines {
		switch {
		case engine.State == enginecontract.StateLeaving || !hasFreshLoad(engine):
		case engine.OrderOutstanding && engine.TargetRole != "":
			split = split.Add(engine.TargetRole, 1)
		default:
			split = split.Add(engine.Role, 1)
		}
	}
	return split
}

// changesInBudgetWindow counts the recent changes that count against the budget.
func changesInBudgetWindow(observation Observation) int {
	count := 0
	for _, at := range observation.RecentChanges {
		if observation.Now-at < budgetWindow {
			count++
		}
	}
	return count
}

// changeCandidates returns the engines that may change from a role to another now, best first: those with the fewest
// requests in flight, then by name. If there are none, the second result is the reason.
func changeCandidates(observation Observation, from, to enginecontract.Role) ([]EngineObservation, string) {
	reason := "no engine plays " + string(from)
	var result []EngineObservation
	for _, engine := range observation.Engines {
		if engine.Role != from {
			continue
		}
		pinned, isPinned := observation.Pins[engine.Name]
		switch {
		case isPinned && pinned != to:
			reason = "engines in " + string(from) + " are pinned"
		case isUnavailable(engine):
			reason = "engines in " + string(from) + " are out of service or under a change"
		case !hasFreshLoad(engine):
			reason = "reports of engines in " + string(from) + " are missing or stale"
		case observation.Now-engine.RoleSince < observation.Policy.MinimumDwell:
			reason = "engines in " + string(from) + " have not kept their role for the minimum dwell"
		case !zoneAllows(observation, engine, to):
			reason = "the bounds of the zone or the number of engines out forbid it"
		default:
			result = append(result, engine)
		}
	}
	sort.Slice(result, func(i, j int) bool {
		a, b := inFlight(result[i]), inFlight(result[j])
		if a != b {
			return a < b
		}
		return result[i].Name < result[j].Name
	})
	return result, reason
}

func inFlight(engine EngineObservation) int {
	if engine.Load == nil {
		return 0
	}
	return engine.Load.Running + engine.Load.Waiting
}

// zoneAllows reports whether every bound that covers the engine's zone permits the change to another role.
func zoneAllows(observation Observation, engine EngineObservation, to enginecontract.Role) bool {
	for _, bound := range observation.Bounds {
		if bound.Zone != "" && bound.Zone != engine.Zone {
			continue
		}
		covered := enginesInZone(observation.Engines, bound.Zone)
		count := committedSplit(covered).Count(bound.Role)
		if bound.Role == engine.Role && count-1 < bound.Minimum {
			return false
		}
		if bound.Role == to && bound.Maximum > 0 && count+1 > bound.Maximum {
			return false
		}
		if countUnavailable(covered)+1 > max(bound.MaximumOut, 1) {
			return false
		}
	}
	return true
}

// maxUnavailable returns how many engines of the service may be unavailable at once.
func maxUnavailable(bounds []RoleBound) int {
	limit := 0
	for _, bound := range bounds {
		if bound.Zone == "" {
			value := max(bound.MaximumOut, 1)
			if limit == 0 || value < limit {
				limit = value
			}
		}
	}
	return max(limit, 1)
}

func countUnavailable(engines []EngineObservation) int {
	unavailable := 0
	for _, engine := range engines {
		if isUnavailable(engine) {
			unavailable++
		}
	}
	return unavailable
}

func enginesInZone(engines []EngineObservation, zone string) []EngineObservation {
	if zone == "" {
		return engines
	}
	var result []EngineObservation
	for _, engine := range engines {
		if engine.Zone == zone {
			result = append(result, engine)
		}
	}
	return result
}
