// Package controlstate is the state that all controllers replicate: the declared
// configuration with its revisions, the engines and the one order each may hold,
// the authority epoch, the claims of requests that run at most once, and the audit
// trail.
//
// The state machine is deterministic: Apply depends on the state, the log index and
// the command alone. It does no I/O, reads no clock and draws no random numbers.
// Every memory it keeps is bounded by a constant of bounds.go; what happens when a
// bound is reached is said there.
//
// A State is owned by one goroutine. Messages handed out belong to the State and
// are never changed by it or by their readers: a changed object is a new message.
package controlstate
