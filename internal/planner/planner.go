package planner

import (
	"fmt"
	"time"
)

const (
	// warmUp is how long a planner without history observes before it decides.
	warmUp = 20 * time.Second
	// persistenceShare is the share of the horizon for which every decision must have found a change that pays back
	// before the first change is made. Mixes that swing faster are not followed.
	persistenceShare = 1.0 / 40
)

// defaultHorizon is the time within which a change must pay back if the policy does not set one.
const defaultHorizon = 60 * time.Second

// FluidPlanner searches the split of the engines with the highest worth under the demand of the recent past, the past
// horizon and the forecast. It changes to that split if the worth gained over the horizon exceeds the costs: the
// unavailable engines, the cold caches and the declared price. It stores only demand. It is not safe for concurrent
// use.
type FluidPlanner struct {
	history *history
	// firstAt is the time of the first observation. payingSince is the time since which every decision has found a
	// change that pays back, while isPaying is set.
	firstAt     time.Duration
	hasFirst    bool
	isPaying    bool
	payingSince time.Duration
}

// New returns the planner of one service.
func New() *FluidPlanner { return &FluidPlanner{history: newHistory()} }

var _ Planner = (*FluidPlanner)(nil)

// Plan decides which role changes to make now.
func (p *FluidPlanner) Plan(observation Observation) Decision {
	if isDemandStale(observation) {
		return noChange("demand reports are missing or older than %s", maxDemandAge)
	}
	p.history.observe(observation, freshDemands(observation))
	if !p.hasFirst {
		p.firstAt, p.hasFirst = observation.Now, true
	}
	if blocked := reasonAgainstChange(observation); blocked != nil {
		return *blocked
	}
	decision := newEvaluation(observation, p.history).decide()
	return p.requirePersistence(observation, decision)
}

// requirePersistence returns the decision. It drops the changes during warmUp and until every decision has found a
// change that pays back for persistenceShare of the horizon.
func (p *FluidPlanner) requirePersistence(observation Observation, decision Decision) Decision {
	if len(decision.Changes) == 0 {
		p.isPaying = false
		return decision
	}
	if !p.isPaying {
		p.isPaying, p.payingSince = true, observation.Now
	}
	wait := time.Duration(persistenceShare * float64(horizonOf(observation.Policy)))
	switch {
	case observation.Now-p.firstAt < warmUp:
		return noChange("the planner has watched for less than %s; now it would say: %s", warmUp, decision.Reason)
	case observation.Now-p.payingSince < wait:
		return noChange("it has paid for less than %s: %s", wait, decision.Reason)
	}
	return decision
}

// reasonAgainstChange returns a decision with the reason why no change may be made now, or nil if one may be made.
func reasonAgainstChange(observation Observation) *Decision {
	decision := Decision{}
	budget := observation.Policy.ChangesPerHour
	limit := maxUnavailable(observation.Bounds)
	switch {
	case len(observation.Engines) < 2:
		decision = noChange("fewer than two engines")
	case 2*countStale(observation.Engines) > len(observation.Engines):
		decision = noChange("reports of most engines are missing or stale")
	case budget > 0 && changesInBudgetWindow(observation) >= budget:
		decision = noChange("the budget of %d changes an hour is spent", budget)
	case countUnavailable(observation.Engines) >= limit:
		decision = noChange("%d engines are out of service already; the bound is %d", countUnavailable(observation.Engines), limit)
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

// noChange returns a decision without changes, with the formatted reason.
func noChange(format string, values ...any) Decision {
	return Decision{Reason: fmt.Sprintf(format, values...)}
}

// seconds returns a duration in seconds.
func seconds(d time.Duration) float64 { return d.Seconds() }
