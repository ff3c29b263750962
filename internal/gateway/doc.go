// Package gateway is the runtime of the gateway process. It receives callers' requests,
// authenticates, admits and routes them, and runs the exchanges with back ends. Each caller receives either
// the complete answer to its own request or an answer with a correct run verdict.
//
// Separate goroutines serve callers (fasthttp), own the view of the fleet, send heartbeats to a
// controller and demand reports to the leader, watch for callers that disconnect, and run the
// admin server.
package gateway
