// Package consensus implements a replicated log as a pure state machine: it elects a leader
// among controllers, replicates entries to them and reports which entries are committed. It
// does no I/O, reads no clock and starts no goroutine.
//
// The algorithm is Raft with these extensions: pre-vote, a quorum check (a leader that loses
// contact with a quorum steps down), leader leases for reads, membership changes of one voter
// at a time with non-voting learners, snapshots for members that lag behind, and leadership
// transfer. A member is identified by its disk: a replaced or emptied disk is a new member,
// because a member must never forget a vote or an entry that it acknowledged.
//
// The owner of a Core calls Tick, Step, Propose and the other methods with the current time,
// a duration since an origin of the owner's choice that never goes back. It then calls Ready
// until that reports no more work: it persists the batch, sends the messages, applies the
// committed entries, and calls ReportPersisted once the batch is synced to disk. Messages that
// depend on a sync are delayed until that sync is reported.
//
// A Core is not safe for concurrent use: one goroutine owns it.
package consensus
