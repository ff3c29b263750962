// Package routing chooses the back end for a request. It is pure: it reads no clock, does no I/O, starts
// no goroutine and draws randomness only from its configured seed, so that the gateway, the simulator and
// the experiment tool run the same code.
//
// A decision runs Filter → Scorer → Picker over a bounded subset of back ends. Filters drop back ends that
// must not get the request, scorers add up the expected time of the request there, and a picker chooses
// among the cheapest. All costs are expected times, so that zone distance, load, prefix cache and deadlines
// can be compared without tuned weights.
//
// Times are durations since an origin of the caller's choice. All calls must use the same origin, and now
// must not decrease.
//
// A Router is not safe for concurrent use: its owner calls it from one goroutine or under one mutex. A
// decision does not block, and its cost does not grow with the fleet (see Config.SubsetSize).
package routing
