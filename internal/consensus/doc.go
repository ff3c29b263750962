// Package consensus is a replicated log as a pure state machine: it elects a leader
// among controllers, replicates entries to them and tells which entries are
// committed. It does no I/O, reads no clock and starts no goroutine.
//
// The algorithm is Raft with pre-vote, a leader that steps down when it hears from
// no quorum, leader leases for reads, membership change of one voter at a time with
// non-voting learners, snapshots for members that lag behind, and leadership
// transfer. A member is identified by its disk: a replaced or emptied disk is a new
// member, so that a vote or an entry once promised cannot be forgotten under the
// same identity.
//
// The owner calls Tick, Step, Propose and the like with the time (a duration since
// an origin of its choice that never goes back), then drains Ready until it reports
// nothing: it persists the batch, sends the messages, applies the committed
// entries, and reports the batch with Persisted once it is synced. Messages that
// must not leave before a sync are held back until then.
//
// A Core is not safe for concurrent use: one goroutine owns it.
package consensus
