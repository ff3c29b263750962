// Package returnplan plans when clients that were refused for lack of slots return, so that there is a slot for them
// then. The relay that owns the slots of a service keeps one Plan for it. The plan divides time into spans and promises
// at most as many returns in a span as slots come free in it. A client that returns at its promised time is recognised
// by the signature of its request and redeems the promise.
//
// The package is pure: the caller passes the time and random numbers. A Plan is not safe for concurrent use.
package returnplan
