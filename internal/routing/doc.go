// Package routing chooses the back end for one request. It is pure: it reads no
// clock, does no I/O, starts no goroutine and draws randomness only from its
// configured seed, so that the gateway, the simulator and the experiment tool run
// the same code.
//
// A decision runs Filter → Scorer → Picker over a bounded subset of back ends.
// Filters drop back ends that must not get the request, scorers add up the time
// the request is expected to take there, and a picker chooses among the cheapest.
// All costs are in one unit, expected time, so that zone distance, load, prefix
// cache and deadlines trade against each other without tuned weights.
//
// Times are durations since an origin of the caller's choice; it must be the same
// origin in every call, and now must not go back.
//
// A Router is not safe for concurrent use: its owner calls it from one goroutine
// or under one mutex. A decision does not block and does no work that grows with
// the fleet (see Config.SubsetSize).
package routing
