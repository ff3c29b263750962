// Package processrun runs a scenario on a fleet of processes and records it in the format of an
// experiment's result, so that `hazelbench report` can compare both.
//
// The requests and their times are those of the experiment with the same seed. Outcomes are measured at
// the callers, and the engines' states at the stand-ins.
package processrun
