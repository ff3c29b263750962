// Package enginespeed estimates how fast the engines of a service work: how long a decode step takes at each engine, how
// much longer work takes at an engine now than usually, and how much longer it takes at times.
//
// Engines report their relative time: how long work takes there now, relative to the usual time in the service. Two causes
// are mixed in it. Engines differ for good, by their machines; and an engine that shares its machine with other work is
// slowed down for some hundred milliseconds and is back at its own usual speed afterwards. A table therefore separates an
// engine's usual relative time, which changes slowly, from its slowdown at this moment, which expires soon after the
// report.
//
// It is pure: it reads no clock, does no I/O and starts no goroutine.
package enginespeed
