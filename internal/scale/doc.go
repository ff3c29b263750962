// Package scale runs a fleet of the target size on one machine. Controllers are real
// (controller.Run), a process each. Gateways are the product's control runtime
// (gateway.Control) without request path, hundreds in this process. Engines answer the
// control part of the engine contract from the stand-ins' order machine, all in one
// process. Everything talks over sockets on loopback addresses; latencies between zones
// and regions, and cuts between them, are injected at the listeners.
//
// Fleet starts, stops, cuts and heals; Measure counts state, messages, bytes and
// processor time by role and duty; Fit makes slopes out of several sizes.
package scale
