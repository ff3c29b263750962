// Package measure runs the decisions of the request path and reports how good they are:
// routing against random, naive and clairvoyant choices, decision time against the size of
// the fleet, a neighbour's goodput under a flooding tenant, which kinds are given up under
// overload, and what claims cost. It belongs to the bench. Timings aside, every run is in
// virtual time, has a fixed seed and gives the same figures each time.
package measure
