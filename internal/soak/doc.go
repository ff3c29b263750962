// Package soak runs relays and controllers as real processes on loopback, with stand-ins around them,
// disturbs them from outside by a seed, and checks the rules on what clients, back ends and the operator
// saw. The packages below it hold the histories and the checks.
package soak
