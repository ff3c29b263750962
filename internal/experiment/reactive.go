package experiment

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// Thresholds of the reactive policy.
const (
	reactiveLongQueue  = 8000 // waiting prompt tokens per prefill engine
	reactiveShortQueue = 2000
	reactiveHighBatch  = 70 // requests per decode engine
	reactiveLowBatch   = 40
	reactiveCooldown   = 10 * time.Second
)

// reactivePlanner changes one engine when the queues of prefill engines are long and the
// batches of decode engines small, or the reverse, and then waits for reactiveCooldown. It
// neither forecasts demand nor weighs the cost of a change.
type reactivePlanner struct {
	changed   bool
	changedAt time.Duration
}

// Plan implements planner.Planner.
func (p *reactivePlanner) Plan(observation planner.Observation) planner.Decision {
	if p.changed && observation.Now-p.changedAt < reactiveCooldown {
		return planner.Decision{Reason: "cooling down"}
	}
	queue, prefillEngines := 0.0, 0
	batch, decodeEngines := 0.0, 0
	for _, engine := range observation.Engines {
		if engine.Load == nil {
			continue
		}
		switch engine.Role {
		case enginecontract.RolePrefill:
			prefillEngines++
			queue += float64(engine.Load.WaitingPromptTokens)
		case enginecontract.RoleDecode:
			decodeEngines++
			batch += float64(engine.Load.Running + engine.Load.Waiting)
		}
	}
	queue /= float64(max(prefillEngines, 1))
	batch /= float64(max(decodeEngines, 1))
	switch {
	case queue > reactiveLongQueue && batch < reactiveLowBatch && decodeEngines > 1:
		return p.change(observation, enginecontract.RoleDecode, enginecontract.RolePrefill, "readers' queues are long")
	case batch > reactiveHighBatch && queue < reactiveShortQueue && prefillEngines > 1:
		return p.change(observation, enginecontract.RolePrefill, enginecontract.RoleDecode, "writers' batches are large")
	}
	return planner.Decision{Reason: "no threshold is passed"}
}

func (p *reactivePlanner) change(observation planner.Observation, from, to enginecontract.Role, reason string) planner.Decision {
	engine, found := leastLoaded(observation.Engines, from, nil)
	if !found {
		return planner.Decision{Reason: "no engine can change"}
	}
	p.changed, p.changedAt = true, observation.Now
	return planner.Decision{Changes: []planner.Change{{Engine: engine.Name, From: from, To: to, Reason: reason}}, Reason: reason}
}
