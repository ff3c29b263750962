// Package gatewaystate is a gateway's view of the fleet: the applied configuration, the
// tenants that have sent requests, the directory of back ends with its freshness, and the demand
// counts. It builds the gateway's requests to controllers and applies their answers; shares
// of limits belong to package limits. It does no I/O, reads no clock and starts no goroutine.
//
// A State has one owner and is not safe for concurrent use. Snapshot returns an
// immutable view for any number of readers.
//
// Times are durations since an origin that the caller chooses.
package gatewaystate
