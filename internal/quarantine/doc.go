// Package quarantine keeps requests away from replicas that they would crash. It is pure. A Signature defines which requests
// are the same, regardless of their identity and headers. A Ledger is part of the replicated state: every controller applies
// the same replica crashes in the same order, and quarantines a request under which too many replicas have crashed. A
// TrialScheduler exists only on the leader: it decides when a quarantined request may be tried again and when an entry
// expires.
//
// A replica may also crash because of one part of a prompt, which requests that are all different share. Parts are entries of the
// same Ledger, with marked signatures. A PartEvaluator decides on the leader which of them are quarantined: sound runs clear the others.
package quarantine
