// Package listing keeps the list of back ends consistent between the leader and the relays: the leader's
// versions of the list and the changes between them, a relay's copy of the list and the changes applied to
// it, and the schedule by which a relay without a leader reads the list itself. The package does no I/O.
package listing
