// Package processrun runs a scenario on a fleet of processes and records it in the
// form of an experiment's result, so that `hazelbench report` shows both side by side.
//
// Requests and their times are those of the experiment with the same seed. What
// happens to them is measured at the callers, the engines' states at the stand-ins.
package processrun
