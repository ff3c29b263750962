// Package property runs many callers against real gateways, with stand-ins for engines, page services and controllers,
// over in-memory connections, while faults are injected: crashes, pauses, broken connections, lost, mixed up, duplicated
// and truncated responses, killed and stopped gateways, unreachable controllers. Afterwards it compares the outcomes
// that callers observed with the executions that engines and page services counted.
//
// These invariants must hold: no request with the verdict "not run" has run, and none with the verdict "ran" has not; a
// request that may run once has run at most once, however often and through whichever gateways it was sent; each
// complete response is the request's own, up to its last token; each partial response is a prefix of the request's own
// response; no tenant is served from another tenant's cache.
//
// Run is meant for testing/synctest, where it takes no real time and waits for states only. Requests and faults follow
// from the seed; the scheduling of goroutines does not, so that two runs of one seed may count different numbers. When
// a test disables one of the safeguards, a few seeds must be enough to detect that it is missing.
//
// Connections are unbuffered pipes. Not covered are therefore bytes that a kernel would still deliver after a process
// has died, and callers that go away, which gateways detect through the kernel (the gateway's own tests cover them over
// loopback).
package property
