// Package quarantine keeps requests away from replicas that they would crash. It is pure. A Signature defines which requests
// are the same, regardless of their identity and headers. A Ledger is part of the replicated state: every controller applies
// the same replica crashes in the same order, and quarantines a request under which too many replicas have crashed. A
// TrialScheduler exists only on the leader: it decides when a quarantined request may be tried again and when an entry
// expires.
package quarantine
