// Package gatewaystate is a gateway's pure view of the fleet: the configuration in
// force, the tenants met, the directory of back ends with its freshness, and the demand
// met. It builds the gateway's requests to controllers and applies their answers; shares
// of limits belong to package limits. It does no I/O, reads no clock and starts no goroutine.
//
// A State has one owner; it is not safe for concurrent use. Snapshot returns an
// immutable picture for any number of readers.
//
// Times are durations since an origin of the caller's choice.
package gatewaystate
