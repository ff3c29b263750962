// Package controlstate implements the state that all controllers replicate: the declared
// configuration with its revisions, the engines with at most one outstanding order each,
// the authority epoch, the claims of requests that run at most once, and the audit trail.
//
// The state machine is deterministic: Apply depends on the state, the log index and
// the command alone. It does no I/O, reads no clock and draws no random numbers.
// The number of records of each kind is limited by a constant in bounds.go, which also
// says what happens when the limit is reached.
//
// A State is owned by one goroutine. Messages that it returns belong to the State and are
// immutable: the State replaces a message when its content changes, and readers must not write to it.
package controlstate
