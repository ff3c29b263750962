// Package leaderloss stops leaders of a running fleet of real processes while requests,
// configuration changes and role changes continue. It checks that no condition of the
// control plane is violated and measures how long each loss affects the fleet.
//
// It sends signals only to processes that the fleet started.
package leaderloss
