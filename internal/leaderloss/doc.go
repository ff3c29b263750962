// Package leaderloss loses leaders of a running fleet of real processes while
// requests, configuration changes and role changes go on, checks that no condition
// of the control plane breaks, and measures how long each loss is felt.
//
// Only processes that the fleet started get signals.
package leaderloss
