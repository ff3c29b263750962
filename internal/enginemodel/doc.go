// Package enginemodel models one model engine with continuous batching in virtual
// time: how long prompts take to read, how long each output token takes, what
// waits for memory, and what a limited prefix cache saves.
//
// The model is pure: it has no clock, no I/O, no goroutine and no random source.
// Time is a time.Duration since an origin of the caller's choice and never goes
// back. The HTTP stand-in of an engine drives it with the real clock; the
// experiment tool drives tens of engines in virtual time. An Engine belongs to
// one goroutine.
package enginemodel
