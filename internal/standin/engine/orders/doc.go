// Package orders implements how an engine handles fenced orders, as docs/ENGINE-CONTRACT.md
// specifies: accept or refuse by fence and expected state, drain, change, then done or
// aborted. It does no I/O: the caller passes the time and the number of sequences in
// flight. The HTTP stand-in and the simulator run the same Machine. A Machine is not safe
// for concurrent use.
package orders
