// Package gatewaycost measures what one gateway process costs on the real path: the time
// it adds to a request, the processor time of a request and of a streamed token, and how
// long a caller waits for the next token when the link to its engine is cut.
//
// Callers call from the gateway's own zone, so that no injected latency is measured.
package gatewaycost
