// Package slotqueue grants the slots of the back ends of one service for all relays. The relay that owns the slots of
// the service runs one Queue; every relay asks it for a slot before it sends a request.
//
// Requests are served by priority level; within a level, clients that return at their promised time go before
// newcomers; then tenants share the slots by start-time fair queueing of the slot time that their requests use. Within
// a tenant the earliest target that can still be met goes first, then the earliest deadline. A request that cannot be
// completed before its deadline is refused before it uses a slot.
//
// A grant is valid until it is released, until a report of its relay no longer lists it, or until its lease expires.
// The deputy of an owner, the relay that replaces it on failure, also runs a Queue and applies the reports of all
// relays, so that it knows the slots in use when it takes over.
//
// The package is pure: no clock, no I/O, no goroutine, no randomness. A Queue is not safe for concurrent use. Times are
// durations since an origin chosen by the caller and must not decrease.
package slotqueue
