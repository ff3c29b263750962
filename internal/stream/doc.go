// Package stream reads the event stream of an engine and decides, event by event, what
// of it belongs to a caller's answer. Scanner splits bytes into events, Sequence (pure)
// accepts each token exactly once and in order, Answer gathers a whole answer, and Writer
// writes the events that callers see. Nothing of an engine's own fields passes through.
//
// None of the types is safe for concurrent use.
package stream
