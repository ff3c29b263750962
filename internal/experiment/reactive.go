package experiment

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// Thresholds of the reactive policy.
const (
	reactiveLongQueue  = 8000 // waiting prompt tokens for each reader
	reactiveShortQueue = 2000
	reactiveHighBatch  = 70 // running requests for each writer
	reactiveLowBatch   = 40
	reactiveCooldown   = 10 * time.Second
)

// reactivePlanner changes one engine when the readers' queues are long and the writers'
// batches are small, or the other way round, and then waits. It forecasts nothing and
// prices nothing.
type reactivePlanner struct {
	changed bool
	at      time.Duration
}

// Plan implements planner.Planner.
func (p *reactivePlanner) Plan(observation planner.Observation) planner.Decision {
	if p.changed && observation.Now-p.at < reactiveCooldown {
		return planner.Decision{Reason: "cooling down"}
	}
	queue, readers := 0.0, 0
	batch, writers := 0.0, 0
	for _, engine := range observation.Engines {
		if engine.Load == nil {
			continue
		}
		switch engine.Role {
		case enginecontract.RolePrefill:
			readers++
			queue += float64(engine.Load.WaitingPromptTokens)
		case enginecontract.RoleDecode:
			writers++
			batch += float64(engine.Load.Running + engine.Load.Waiting)
		}
	}
	queue /= float64(max(readers, 1))
	batch /= float64(max(writers, 1))
	switch {
	case queue > reactiveLongQueue && batch < reactiveLowBatch && writers > 1:
		return p.change(observation, enginecontract.RoleDecode, enginecontract.RolePrefill, "readers' queues are long")
	case batch > reactiveHighBatch && queue < reactiveShortQueue && readers > 1:
		return p.change(observation, enginecontract.RolePrefill, enginecontract.RoleDecode, "writers' batches are large")
	}
	return planner.Decision{Reason: "no threshold is passed"}
}

func (p *reactivePlanner) change(observation planner.Observation, from, to enginecontract.Role, reason string) planner.Decision {
	engine, found := idlest(observation.Engines, from, nil)
	if !found {
		return planner.Decision{Reason: "no engine can change"}
	}
	p.changed, p.at = true, observation.Now
	return planner.Decision{Changes: []planner.Change{{Engine: engine.Name, From: from, To: to, Reason: reason}}, Reason: reason}
}
