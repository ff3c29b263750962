// Package membership tracks which engines, page services and gateways are present, changing, leaving
// or gone: engines by the platform's machine list and by their answers to polls, page services by the
// list alone, gateways by their heartbeats. From that it builds the directory of back ends that a
// gateway uses.
//
// Bounds with the default settings: an engine that starts to leave is no longer serving in the
// directory after its next poll, 1 s and a round trip later. If its answers are lost, it stops serving
// once its last answer is 2.5 s old, whatever the list says. A page service is not polled and leaves
// when the list marks it as leaving. A gateway that syncs every second receives the change within one
// more second. Each directory carries the age of its readings, and a gateway counts that age against
// the 4 s for which a confirmation is valid.
//
// A Tracker does no I/O and belongs to one goroutine.
package membership
