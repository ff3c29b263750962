package planner

import (
	"fmt"
	"time"
)

const (
	// warmUp is how long a planner that remembers nothing watches before it decides.
	warmUp = 20 * time.Second
	// persistence is the part of the horizon for which changes must pay at every
	// decision before the first is made: mixes that swing faster are not followed.
	persistence = 1.0 / 40
)

// defaultHorizon is how far ahead a change must pay back when no policy says so.
const defaultHorizon = 60 * time.Second

// FluidPlanner looks for the split of the engines that brings the most worth under the
// demand of the recent past and of the horizon behind, and goes there when the worth it
// adds over the horizon pays for the changes: the engines out, the cold caches, the
// declared price. It remembers demand only. It is not safe for concurrent use.
type FluidPlanner struct {
	history *history
	// began is the time of the first observation; paysSince that from which on every
	// decision has found a change that pays, while pays is set.
	began     time.Duration
	begun     bool
	pays      bool
	paysSince time.Duration
}

// New returns the planner of one service.
func New() *FluidPlanner { return &FluidPlanner{history: newHistory()} }

var _ Planner = (*FluidPlanner)(nil)

// Plan decides the role changes to make now.
func (p *FluidPlanner) Plan(observation Observation) Decision {
	if staleDemand(observation) {
		return hold("demand reports are missing or older than %s", maximumDemandAge)
	}
	p.history.observe(observation, freshDemands(observation))
	if !p.begun {
		p.began, p.begun = observation.Now, true
	}
	if refusal := mayNotChange(observation); refusal != nil {
		return *refusal
	}
	decision := newWeighing(observation, p.history).decide()
	return p.settle(observation, decision)
}

// settle lets changes pass once they have paid for long enough.
func (p *FluidPlanner) settle(observation Observation, decision Decision) Decision {
	if len(decision.Changes) == 0 {
		p.pays = false
		return decision
	}
	if !p.pays {
		p.pays, p.paysSince = true, observation.Now
	}
	wait := time.Duration(persistence * float64(horizonOf(observation.Policy)))
	switch {
	case observation.Now-p.began < warmUp:
		return hold("the planner has watched for less than %s; now it would say: %s", warmUp, decision.Reason)
	case observation.Now-p.paysSince < wait:
		return hold("it has paid for less than %s: %s", wait, decision.Reason)
	}
	return decision
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
