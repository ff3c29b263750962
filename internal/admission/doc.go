// Package admission decides which requests of one service a gateway starts, queues
// or refuses. It is pure: no clock, no I/O, no goroutine, no randomness.
//
// Requests wait in one queue per tenant. Start-time fair queueing serves the tenants:
// each gets tokens in proportion to its weight, adjusted by a bounded factor in favor
// of requests worth more per token. Within a tenant, requests worth more per token go
// first, and among equals the one with the earliest latest start. A request that can no
// longer meet its deadline is refused with a Retry-After on arrival, while it waits or
// when it is due to start. Its expected duration follows from the recent time to first
// token and the recent time between tokens of its class; without recent measurements,
// its own minimum is used. When the queue is full, the request worth least per token is
// refused among the tenants that hold more than their fair share of the queue.
//
// A window limits the cost in flight. It grows while back ends answer without queueing
// and shrinks otherwise.
//
// A Core is not safe for concurrent use: its owner calls it from one goroutine or
// under one mutex. Memory is bounded by Config.QueueLength, QueueBytes and the
// requests in flight. Times are durations since an origin chosen by the caller
// and must not decrease.
package admission
