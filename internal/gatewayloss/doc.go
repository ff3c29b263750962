// Package gatewayloss stops gateways and engines of a running fleet while streams and
// registrations are in flight, and classifies every answer: a request may lack a complete
// answer only if its gateway was killed, and the verdicts that callers got must agree with
// what the stand-ins executed.
//
// Gateways are OS processes and receive signals; engines are stand-ins whose connections
// are all reset at once, as those of a killed process are.
package gatewayloss
