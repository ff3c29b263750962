// Package previousplanner is the planner as it was before experiments measured it, kept
// unchanged as a baseline: a queueing model of two stations, rates smoothed over 8 s,
// one change at a time. It is part of the bench.
package previousplanner

import "github.com/hazelpitch/hazelpitch/internal/planner"

// The shapes are the present planner's.
type (
	Observation       = planner.Observation
	EngineObservation = planner.EngineObservation
	DemandObservation = planner.DemandObservation
	KindWorth         = planner.KindWorth
	RoleBound         = planner.RoleBound
	Policy            = planner.Policy
	EngineProfile     = planner.EngineProfile
	Change            = planner.Change
	Decision          = planner.Decision
	Planner           = planner.Planner
	Split             = planner.Split
)
