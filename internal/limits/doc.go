// Package limits holds tenants to their fleet-wide limits at one gateway, by shares
// that the controllers lease to it. It is pure: no clock, no I/O, no goroutine, no
// randomness. No request asks a controller.
//
// A request is charged its estimated tokens when it is acquired and corrected to
// the tokens used when it is settled. Tokens come from a bucket that fills at the
// rate of the share and holds Config.Burst of it. A request that is larger than the
// bucket passes when the bucket is full and leaves a debt.
//
// A share that is not renewed in time is halved at once and again after each lease
// period, and ends after ten halvings, so a gateway that is cut off goes on for a
// while and spends at most one lease period's worth of tokens beyond its lease. A tenant
// newly met gets a small initial share, which shrinks in the same way unless the
// controllers grant one.
//
// A request that the present share does not cover waits, when the controllers may have
// more for the tenant than this gateway has asked for: UrgentDemands asks for it at once,
// and Resolve decides with the answer. When they lately granted less than was asked the
// tenant is at its limit: a request waits only for tokens that its share yields within
// Config.LongestTokenWait, and is otherwise refused at once. When they do not answer for
// Config.LongestWait no request waits for them. Waiting requests keep their order.
//
// Within a window of length T the gateways of a fleet let pass at most: the limit times
// T and one Config.Burst; for each gateway that meets the tenant within it the initial
// share's bucket and yield (the limit / InitialDivisor × 7 s) and one request, which may
// be larger than the bucket; and, when gateways are cut off from the controllers, one
// lease period's worth of the shares they held.
//
// A Core is not safe for concurrent use: its owner calls it from one goroutine or
// under one mutex. Memory is bounded by Config.Tenants. Times are durations since
// an origin of the caller's choice and must not go back.
package limits
