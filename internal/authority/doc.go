// Package authority decides which fences and orders the leading controller sends to engines. A
// Commander raises the fence of the leader's term on every engine, compares the state that each
// engine reports with the order that the log says it may have, and only then allows new orders. An
// order is committed to the replicated log before it is sent; each engine has at most one
// outstanding order; a resent order carries the same identity.
//
// A leader is elected only after its predecessor's lease has expired: that is the vote rule of
// internal/consensus. The owner calls Step only while its own lease is valid, so two leaders never
// send orders at the same time. If clocks fail, the fence still makes engines reject the orders of
// the older leader.
//
// A Commander does no I/O and belongs to one goroutine. Its state is volatile: a new leader
// rebuilds it from the log and from the engines' reports.
package authority
