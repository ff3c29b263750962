// Package membership keeps track of who is here, changing, leaving and gone: engines
// and page services by the platform's list and by their own answers to polls, and
// gateways by their heartbeats. From that it makes the directory of back ends that a
// gateway uses.
//
// Bounds, with the default times: an engine that starts to leave is out of the
// directory's serving back ends at its next poll, 1 s and a round trip later, or,
// when its answers are lost, once its last answer is 2.5 s old, whatever the list
// says. A page service is not polled; it leaves with the list's word. A gateway that
// syncs each second hears of it within one second more. The age of the readings is
// told with each directory, and a gateway counts it as spent of the 4 s for which a
// confirmation holds.
//
// A Tracker is pure and belongs to one goroutine.
package membership
