// Package simulation runs controllers, gateways, engines, operators and the machine
// list in one thread with virtual time, breaks them in every way the fleet has to
// bear, and checks after each step what must always hold. Everything random comes
// from one seed: the same seed gives the same run and the same trace hash.
//
// The controllers are the product's own cores over its own log on simulated disks;
// the gateways use the product's own view of the fleet; the engines are the
// stand-in's own order machines.
package simulation
