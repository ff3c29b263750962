// Package soak runs relays and controllers as real processes on loopback, surrounded by stand-ins for clients,
// back ends and the operator. It injects faults from outside, drawn from a seed, and checks the rules against what
// the stand-ins observed. Its subpackages hold the recorded history and the checks.
package soak
