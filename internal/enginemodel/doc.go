// Package enginemodel simulates one model engine with continuous batching in virtual
// time: the durations of prefill and of each decoded token, waiting for KV memory, and
// the savings of a limited prefix cache.
//
// The model is pure: it has no clock, no I/O, no goroutine and no random source.
// Time is a time.Duration since an origin that the caller chooses, and never goes
// back. The stand-in engine of hazelbench drives the model with the real clock; the
// experiment tool drives tens of engines in virtual time. An Engine must be used by
// only one goroutine.
package enginemodel
