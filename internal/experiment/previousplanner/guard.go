package previousplanner

import (
	"sort"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Limits on the age of observations.
const (
	// maximumDemandAge is the age from which demand is ignored.
	maximumDemandAge = 15 * time.Second
	// maximumLoadAge is the age from which an engine's load counts as unknown.
	maximumLoadAge = 15 * time.Second
	// budgetWindow is the period that Policy.ChangesPerHour refers to.
	budgetWindow = time.Hour
)

// staleDemand reports whether all demand observations are missing or too old.
func staleDemand(observation Observation) bool {
	for _, demand := range observation.Demands {
		if demand.Age <= maximumDemandAge {
			return false
		}
	}
	return true
}

// freshDemands returns the demands that are recent enough.
func freshDemands(observation Observation) []DemandObservation {
	fresh := make([]DemandObservation, 0, len(observation.Demands))
	for _, demand := range observation.Demands {
		if demand.Age <= maximumDemandAge {
			fresh = append(fresh, demand)
		}
	}
	return fresh
}

// isOut reports whether an engine has an order outstanding or is not serving.
func isOut(engine EngineObservation) bool {
	return engine.OrderOutstanding || engine.State != enginecontract.StateServing
}

// hasRecentReport reports whether the engine's last load report is recent enough.
func hasRecentReport(engine EngineObservation) bool {
	return engine.Load != nil && engine.LoadAge <= maximumLoadAge
}

// countSilent counts the engines without a recent load report.
func countSilent(engines []EngineObservation) int {
	silent := 0
	for _, engine := range engines {
		if !hasRecentReport(engine) {
			silent++
		}
	}
	return silent
}

// committedSplit counts engines by the role that they have or are changing to. It omits
// engines that are leaving or have no recent report.
func committedSplit(engines []EngineObservation) Split {
	split := Split{}
	for _, engine := range engines {
		switch {
		case engine.State == enginecontract.StateLeaving || !hasRecentReport(engine):
		case engine.OrderOutstanding && engine.TargetRole != "":
			split = split.Add(engine.TargetRole, 1)
		default:
			split = split.Add(engine.Role, 1)
		}
	}
	return split
}

// changesInBudgetWindow counts the changes within the budget window.
func changesInBudgetWindow(observation Observation) int {
	count := 0
	for _, at := range observation.RecentChanges {
		if observation.Now-at < budgetWindow {
			count++
		}
	}
	return count
}

// candidates returns the engines that may change from one role to another now, those with the
// least work in flight first, then by name. The reason explains why there is none.
func candidates(observation Observation, from, to enginecontract.Role) ([]EngineObservation, string) {
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
		case isOut(engine):
			reason = "engines in " + string(from) + " are out of service or under a change"
		case !hasRecentReport(engine):
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

// zoneAllows reports whether every bound that applies to the engine's zone permits a change
// of its role.
func zoneAllows(observation Observation, engine EngineObservation, to enginecontract.Role) bool {
	for _, bound := range observation.Bounds {
		if bound.Zone != "" && bound.Zone != engine.Zone {
			continue
		}
		covered := inZone(observation.Engines, bound.Zone)
		count := committedSplit(covered).Count(bound.Role)
		if bound.Role == engine.Role && count-1 < bound.Minimum {
			return false
		}
		if bound.Role == to && bound.Maximum > 0 && count+1 > bound.Maximum {
			return false
		}
		if countOut(covered)+1 > max(bound.MaximumOut, 1) {
			return false
		}
	}
	return true
}

// maximumOut returns the number of engines of the service that may be out of service at once.
func maximumOut(bounds []RoleBound) int {
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

func countOut(engines []EngineObservation) int {
	out := 0
	for _, engine := range engines {
		if isOut(engine) {
			out++
		}
	}
	return out
}

func inZone(engines []EngineObservation, zone string) []EngineObservation {
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
