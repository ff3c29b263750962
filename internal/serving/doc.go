// Package serving holds what controllers and relays share about opaque requests: the
// operator's configuration of routes and services, the route of a request, and the back
// ends behind a service. It is pure: no I/O, no clock, no goroutine.
package serving
