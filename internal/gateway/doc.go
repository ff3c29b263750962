// Package gateway is the runtime of the gateway process. It takes callers' requests,
// authenticates, admits and routes them, runs the exchanges with back ends and gives each
// caller the whole answer to its own request, or an answer whose verdict is true.
//
// Duties, each with its own goroutine: serving callers (fasthttp), owning the view of the
// fleet, the heartbeat to a controller, the demand report to the leader, watching for
// callers that went away, and the admin server.
package gateway
