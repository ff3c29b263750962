// Package measure runs the decisions of the request path in virtual time and
// reports how good they are: routing against random, naive and clairvoyant
// choices, a neighbour's goodput under a flooding tenant, and the overshoot of
// shared limits against the number of gateways. It belongs to the bench. Every
// run has a fixed seed and gives the same figures each time.
package measure
