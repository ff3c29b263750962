// Package simulation runs controllers, gateways, engines, operators and the machine list in one thread with virtual
// time, injects every fault that the fleet must tolerate, and checks the invariants after each step. All randomness
// comes from one seed: the same seed gives the same run and the same trace hash.
//
// The controllers are the product's cores over the product's log on simulated disks; the gateways use the product's
// view of the fleet and its router; the engines use the order state machines of the stand-in engine.
package simulation
