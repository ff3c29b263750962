// Package serving holds what controllers and relays share about opaque requests: the operator's configuration
// of routes and services, the lookup of a request's route, and the back ends of a service. It is pure: no I/O,
// no clock, no goroutine.
package serving
