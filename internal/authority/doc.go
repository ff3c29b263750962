// Package authority decides what the leading controller may say to engines. A
// Commander raises the fence of the leader's term on every engine, reconciles what
// each engine reports with the order the log says it may hold, and only then lets
// new orders go out. An order is in the replicated log before it is sent; at most
// one is outstanding per engine; a resend carries the same identity.
//
// The lease of the predecessor has run out before a leader is elected: that is the
// vote rule of internal/consensus. The owner calls Step only while its own lease is
// valid, so that two leaders never order at the same time; should clocks fail, the
// fence still makes the older leader's orders void.
//
// A Commander is pure and belongs to one goroutine. It holds soft state only: a new
// leader learns everything again from the log and from the engines.
package authority
