// Package admission decides which requests of one service a gateway starts, keeps
// waiting or refuses. It is pure: no clock, no I/O, no goroutine, no randomness.
//
// Requests wait in one queue per tenant. Tenants are served by start-time fair
// queueing: each gets tokens in proportion to its weight, bent by a bounded factor
// towards requests worth more per token. Within a tenant, requests worth more per
// token go first, and among equals the one that must start soonest. A request that
// cannot meet its deadline any more is refused at once with a time to come back,
// on arrival, while it waits or when its turn comes. How long it would take follows
// from the pace at which requests of its class have lately come to their first token
// and from token to token; without a recent one, from its own minimum. When the queue
// is full, the request worth least per token is refused among the tenants that hold
// more than their fair part of it.
//
// How much is in flight is bounded by a window that grows while the back ends
// answer without waiting and shrinks when they do not.
//
// A Core is not safe for concurrent use: its owner calls it from one goroutine or
// under one mutex. Memory is bounded by Config.QueueLength, QueueBytes and the
// requests in flight. Times are durations since an origin of the caller's choice
// and must not go back.
package admission
