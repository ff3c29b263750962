// Package measure runs the decisions of the request path and reports how good they are: routing against random, naive
// and clairvoyant choices, decision time against the size of the fleet, a neighbour's goodput beside a flooding
// tenant, which kinds are shed under overload, and the cost of claims. It is part of hazelbench. Apart from measured
// times, every run is in virtual time with a fixed seed and gives the same figures each time.
package measure
