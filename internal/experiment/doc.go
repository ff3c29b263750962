// Package experiment runs a scenario in virtual time: engines of internal/enginemodel with
// the product's admission, routing and planner, delayed load reports, role changes that take
// time, and faults. Minutes of a fleet take seconds, and equal scenario, policy and seed give
// equal results.
//
// It is part of hazelbench; product packages must not import it.
package experiment
