// Package property runs many callers against real gateways, with engines, page services
// and controllers that stand in, over connections in memory, while faults strike: crashes,
// pauses, cut links, lost, crossed, doubled and truncated answers, killed and stopped
// gateways, controllers out of reach. Afterwards it holds what callers were told against
// what engines and page services counted.
//
// What has to hold: no request told "not run" has run, none told "ran" has not; a request
// that may run once has run at most once, however often and wherever it was sent; each
// whole answer is its own, to its last token; each part of an answer is the beginning of
// its own; no tenant's cache serves another.
//
// Run is meant for testing/synctest: it then takes no real time and waits for states
// alone. Requests and faults follow from the seed; the order in which goroutines run does
// not, so that two runs of one seed may differ in what they count. Of the safeguards that
// a test switches off, each must be found missing within a few seeds.
//
// Connections are pipes without a buffer: bytes that a kernel would hold when a process
// dies are not part of the run, nor are callers who go away, which gateways notice by the
// kernel (the gateway's own tests cover them over loopback).
package property
