// Package permits obtains permits for sending requests to back ends that declare a rate limit for all relays together.
// Such a limit has one owner among the relays, which counts the requests of all of them, and deputies that count when the
// owner does not answer. This package requests permits from the owner, grants permits for the limits that this relay owns,
// and announces those limits to the other relays. internal/fleetlimit makes the decisions; this package sends its queries,
// answers and notices as datagrams.
package permits
