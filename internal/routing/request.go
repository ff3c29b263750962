package routing

import "time"

// Request is what routing needs to know about one request.
type Request struct {
	Service string
	// Model, Version and Adapter must be loaded; an empty field asks for nothing.
	Model   string
	Version string
	Adapter string
	// PromptTokens and OutputTokens are estimates; both are 0 for a page service.
	PromptTokens int
	OutputTokens int
	// PrefixBlocks identify the prompt's prefix, from PrefixBlocks; may be empty.
	PrefixBlocks []uint64
	// Deadline is the time of the last byte, 0 for none.
	Deadline time.Duration
	// Rank orders requests where limits of back ends do not let all through, 0 the most urgent.
	Rank int
	// WholeOnly asks for one engine that does everything, as after a failed hand-over.
	WholeOnly bool
}

// Stage is the part of a request that a back end is chosen for.
type Stage uint8

// Stages.
const (
	// StageWhole runs the whole request: a mixed engine or a page service.
	StageWhole Stage = iota
	// StagePrefill reads the prompt and exports the KV cache: a prefill engine.
	StagePrefill
	// StageDecode imports the KV cache and writes the output: a decode engine.
	StageDecode
)
