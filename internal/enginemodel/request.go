package enginemodel

import "errors"

// Phase is the part of a request that the engine serves.
type Phase int

// Phases of a request.
const (
	// PhaseFull is prefill and decode.
	PhaseFull Phase = iota
	// PhasePrefillOnly is the prefill alone; the KV cache is kept for export.
	PhasePrefillOnly
	// PhaseDecodeImported imports the KV cache of the prompt and decodes.
	PhaseDecodeImported
)

// Request is one sequence for the engine.
type Request struct {
	// ID is unique among the engine's waiting and running sequences.
	ID           string
	PromptTokens int
	// OutputTokens is the length of the whole output, including AlreadyDelivered.
	OutputTokens int
	// Priority: higher priorities run first; equal ones run in order of arrival.
	Priority int
	// PrefixBlocks are the hashes of the prompt's full prefix blocks, in order.
	// Each hash covers its block and all blocks before it.
	PrefixBlocks []uint64
	Phase        Phase
	// AlreadyDelivered is the number of output tokens that another engine has generated; this
	// engine prefills them with the prompt and continues after them.
	AlreadyDelivered int
}

// Errors of Submit. The request has not run and will not run.
var (
	ErrDuplicate = errors.New("a sequence with this id is running or waiting")
	ErrTooLarge  = errors.New("the sequence is larger than the engine's KV memory")
	ErrQueueFull = errors.New("the engine's waiting line is full")
	ErrRole      = errors.New("the engine's role does not do this phase")
	ErrRequest   = errors.New("the request has no prompt or no output left to write")
)
