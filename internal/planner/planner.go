package planner

import (
	"fmt"
	"time"
)

// defaultHorizon is how far ahead a change must pay back when no policy says so.
const defaultHorizon = 60 * time.Second

// FluidPlanner looks for the split of the engines that brings the most worth under the
// demand of the recent past and of the horizon behind, and goes there when the worth it
// adds over the horizon pays for the changes: the engines out, the cold caches, the
// declared price. It remembers demand only. It is not safe for concurrent use.
type FluidPlanner struct{ history *history }

// New returns the planner of one service.
func New() *FluidPlanner { return &FluidPlanner{history: newHistory()} }

var _ Planner = (*FluidPlanner)(nil)

// Plan decides the role changes to make now.
func (p *FluidPlanner) Plan(observation Observation) Decision {
	if staleDemand(observation) {
		return hold("demand reports are missing or older than %s", maximumDemandAge)
	}
	p.history.observe(observation, freshDemands(observation))
	if refusal := mayNotChange(observation); refusal != nil {
		return *refusal
	}
	return newWeighing(observation, p.history).decide()
}

// mayNotChange tells why no change may be made now, or nil.
func mayNotChange(observation Observation) *Decision {
	decision := Decision{}
	budget := observation.Policy.ChangesPerHour
	limit := maximumOut(observation.Bounds)
	switch {
	case len(observation.Engines) < 2:
		decision = hold("fewer than two engines")
	case 2*countSilent(observation.Engines) > len(observation.Engines):
		decision = hold("reports of most engines are missing or stale")
	case budget > 0 && changesInBudgetWindow(observation) >= budget:
		decision = hold("the budget of %d changes an hour is spent", budget)
	case countOut(observation.Engines) >= limit:
		decision = hold("%d engines are out of service already; the bound is %d", countOut(observation.Engines), limit)
	default:
		return nil
	}
	return &decision
}

func horizonOf(policy Policy) time.Duration {
	if policy.Horizon <= 0 {
		return defaultHorizon
	}
	return policy.Horizon
}

// hold is a decision to change nothing.
func hold(format string, values ...any) Decision {
	return Decision{Reason: fmt.Sprintf(format, values...)}
}

// seconds converts a duration for arithmetic.
func seconds(d time.Duration) float64 { return d.Seconds() }
