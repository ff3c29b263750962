// Package orders is the part of a stand-in engine that takes fenced orders, as
// docs/ENGINE-CONTRACT.md describes it: accept or refuse by fence and expected
// state, drain, change, done or aborted. It is pure: time and the number of
// sequences in flight come in, the state comes out. The HTTP stand-in and the
// simulator run the same Machine. A Machine belongs to one goroutine.
package orders
