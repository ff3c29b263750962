// Package limits enforces the tenants' fleet-wide limits at one gateway, using shares that the
// controllers lease to it. It is pure: no clock, no I/O, no goroutine, no randomness. No request
// calls a controller.
//
// A request is charged its estimated tokens when it is acquired and corrected to the tokens used
// when it is settled. Tokens come from a bucket that fills at the rate of the share and holds the
// tokens of Config.Burst. A request larger than the bucket passes when the bucket is full and
// leaves a debt.
//
// A share that is not renewed in time is halved immediately and again after each lease period. It
// ends after ten halvings. A gateway that is cut off from the controllers therefore continues for a
// while and spends at most one lease period's worth of tokens beyond its lease. A new tenant gets a
// small initial share, which shrinks in the same way unless the controllers grant one.
//
// A request that the current share does not cover waits if the controllers may have more for the
// tenant than this gateway has requested. UrgentDemands requests it immediately, and Resolve decides
// the request on the answer. If the controllers recently granted less than requested, the tenant is
// at its limit: a request then waits only for tokens that its share yields within
// Config.LongestTokenWait, and is otherwise refused immediately. If the controllers have not answered
// for Config.LongestWait, requests no longer wait for them. Waiting requests keep their order.
//
// Within a window of length T the gateways of a fleet admit at most the sum of: the limit times T
// plus one Config.Burst; for each gateway that first sees the tenant in that window, the bucket and
// yield of the initial share (the limit / InitialDivisor × 7 s) and one request, which may be larger
// than the bucket; and, if gateways are cut off from the controllers, one lease period's worth of the
// shares they held.
//
// A Core is not safe for concurrent use: its owner calls it from one goroutine or under one mutex.
// Memory is bounded by Config.Tenants. Times are durations since an origin chosen by the caller and
// must not decrease.
package limits
