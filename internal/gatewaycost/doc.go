// Package gatewaycost measures the overhead of one gateway process on the real path: the
// time it adds to a request, its processor time per request and per streamed token, and how
// long a caller waits for the next token when the connection to the engine is cut.
//
// Callers are in the gateway's zone, so that no injected latency is measured.
package gatewaycost
