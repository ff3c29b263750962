// Package previousplanner is an earlier version of the planner, unchanged as a baseline for
// experiments: a queueing model with two stations, rates smoothed over 8 s, and one change at
// a time. It is part of hazelbench.
package previousplanner

import "github.com/hazelpitch/hazelpitch/internal/planner"

// The types are those of the current planner.
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
