package routing

import "time"

// Request describes a request for routing.
type Request struct {
	Service string
	// Model, Version and Adapter must be loaded at the back end; an empty field requires nothing.
	Model   string
	Version string
	Adapter string
	// PromptTokens and OutputTokens are estimates; both are 0 for a page service.
	PromptTokens int
	OutputTokens int
	// PrefixBlocks identify the prompt's prefix (see the function PrefixBlocks); may be empty.
	PrefixBlocks []uint64
	// Deadline is the time by which the last byte is due, on the clock of the time that Router.Pick receives; 0 means none.
	Deadline time.Duration
	// Rank orders requests if the limits of back ends do not admit all; 0 is the most urgent.
	Rank int
	// WholeOnly requires one back end that does everything, as after a failed KV transfer.
	WholeOnly bool
}

// Stage is the part of a request for which a back end is chosen.
type Stage uint8

// Stages.
const (
	// StageWhole runs the whole request: a mixed engine or a page service.
	StageWhole Stage = iota
	// StagePrefill prefills the prompt and exports the KV cache: a prefill engine.
	StagePrefill
	// StageDecode imports the KV cache and decodes the output: a decode engine.
	StageDecode
)
