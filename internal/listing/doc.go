// Package listing keeps the list of back ends the same at the leader and at relays: versions and what has
// changed between them at the leader, the list that is held and its changes at a relay, and when a relay
// that hears of no leader reads the list itself. The package is pure.
package listing
