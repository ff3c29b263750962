// Package quarantine keeps requests away from replicas that they would end. It is pure. A Signature
// says which requests are the same, whatever their identity and headers. A Ledger is part of the
// replicated state: every controller applies the same ends of replicas in the same order, and holds a
// request back under which too many have ended. A Keeper is what the leader alone keeps: when a held
// request may be tried once more, and when an entry is forgotten.
package quarantine
