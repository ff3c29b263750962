// Package experiment runs a scenario in virtual time: engines of
// internal/enginemodel under the product's own admission, routing and planner, with
// lagging load reports, role changes that take time, and faults. Minutes of a fleet
// take seconds, and the same scenario, policy and seed give the same result.
//
// It is part of the bench; product packages may not import it.
package experiment
