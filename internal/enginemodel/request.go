package enginemodel

import "errors"

// Phase tells which part of a request the engine does.
type Phase int

// Phases of a request.
const (
	// PhaseFull reads the prompt and writes the output.
	PhaseFull Phase = iota
	// PhasePrefillOnly reads the prompt and keeps its KV cache for export.
	PhasePrefillOnly
	// PhaseDecodeImported imports the prompt's KV cache and writes the output.
	PhaseDecodeImported
)

// Request is one sequence for the engine.
type Request struct {
	// ID is unique among the sequences the engine holds.
	ID           string
	PromptTokens int
	// OutputTokens is the whole length of the output, including AlreadyDelivered.
	OutputTokens int
	// Priority: larger goes first; equal priorities go in order of arrival.
	Priority int
	// PrefixBlocks are the hashes of the prompt's full blocks of cache, in order.
	// Each hash covers its block and all before it.
	PrefixBlocks []uint64
	Phase        Phase
	// AlreadyDelivered counts output tokens that were written elsewhere; the engine
	// reads them with the prompt and goes on after them.
	AlreadyDelivered int
}

// Errors of Submit. The request has not run and never will.
var (
	ErrDuplicate = errors.New("a sequence with this id is running or waiting")
	ErrTooLarge  = errors.New("the sequence is larger than the engine's KV memory")
	ErrQueueFull = errors.New("the engine's waiting line is full")
	ErrRole      = errors.New("the engine's role does not do this phase")
	ErrRequest   = errors.New("the request has no prompt or no output left to write")
)
