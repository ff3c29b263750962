// Package stream reads the event stream of an engine and decides for each event whether it belongs to the
// caller's answer. Scanner splits bytes into events; Sequence accepts each token exactly once and in order;
// Answer assembles a non-streamed answer; Writer writes the events for callers. No field of an engine's event
// is passed to callers unless it is part of their protocol.
//
// None of the types is safe for concurrent use.
package stream
