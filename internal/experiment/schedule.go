package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// schedule is a sequence of target splits of one service with their start times.
type schedule []scheduledSplit

type scheduledSplit struct {
	from  time.Duration
	split planner.Split
}

// splitAt returns the target split at a time; the second value is false before the start of the first split.
func (s schedule) splitAt(now time.Duration) (planner.Split, bool) {
	var target planner.Split
	found := false
	for _, step := range s {
		if step.from > now {
			break
		}
		target, found = step.split, true
	}
	return target, found
}

// movesBetween returns the minimum number of engines to change between two splits.
func movesBetween(a, b planner.Split) int {
	moves := 0
	for _, role := range planner.Roles() {
		moves += max(b.Count(role)-a.Count(role), 0)
	}
	return moves
}

// schedulePlanner is a planner that follows a schedule.
type schedulePlanner struct{ schedule schedule }

// Plan implements planner.Planner.
func (p *schedulePlanner) Plan(observation planner.Observation) planner.Decision {
	target, found := p.schedule.splitAt(observation.Now)
	if !found {
		return planner.Decision{Reason: "the schedule has not begun"}
	}
	current := planner.Split{}
	for _, engine := range observation.Engines {
		role := engine.Role
		if engine.OrderOutstanding {
			role = engine.TargetRole
		}
		current = current.Add(role, 1)
	}
	var decision planner.Decision
	for {
		from, to, differs := firstDifference(current, target)
		if !differs {
			return decision
		}
		engine, found := leastLoaded(observation.Engines, from, decision.Changes)
		if !found {
			return decision
		}
		decision.Changes = append(decision.Changes, planner.Change{
			Engine: engine.Name, From: from, To: to, Reason: fmt.Sprintf("the schedule wants %s", target),
		})
		current = current.Add(from, -1).Add(to, 1)
	}
}

// firstDifference returns a role with too many engines and one with too few.
func firstDifference(current, target planner.Split) (from, to enginecontract.Role, differs bool) {
	for _, role := range planner.Roles() {
		switch surplus := current.Count(role) - target.Count(role); {
		case surplus > 0 && from == "":
			from = role
		case surplus < 0 && to == "":
			to = role
		}
	}
	return from, to, from != "" && to != ""
}

// leastLoaded returns the serving engine of a role with the least work in flight that is not among the chosen
// changes; the second value is false if there is none.
func leastLoaded(engines []planner.EngineObservation, role enginecontract.Role, chosen []planner.Change) (planner.EngineObservation, bool) {
	var fit []planner.EngineObservation
	for _, engine := range engines {
		isChosen := slices.ContainsFunc(chosen, func(change planner.Change) bool { return change.Engine == engine.Name })
		if engine.Role == role && !engine.OrderOutstanding && !isChosen && engine.State == enginecontract.StateServing {
			fit = append(fit, engine)
		}
	}
	if len(fit) == 0 {
		return planner.EngineObservation{}, false
	}
	return slices.MinFunc(fit, func(a, b planner.EngineObservation) int {
		return cmp.Or(cmp.Compare(workInFlight(a), workInFlight(b)), cmp.Compare(a.Name, b.Name))
	}), true
}

// workInFlight returns an engine's reported work in flight, in output tokens.
func workInFlight(engine planner.EngineObservation) int64 {
	if engine.Load == nil {
		return 0
	}
	return engine.Load.RunningOutputTokens + engine.Load.WaitingPromptTokens/outputTokenWeight
}

// outputTokenWeight is the number of prompt tokens that take as much work as one output token.
const outputTokenWeight = 8
