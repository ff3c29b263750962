package enginemodel

import "time"

// sequence is a request in the engine.
type sequence struct {
	Request
	cachedTokens int
	// prefillLeft is the number of tokens still to prefill, including already delivered output.
	prefillLeft int
	// generatedTokens is the number of output tokens so far, including those that Request.AlreadyDelivered counts.
	generatedTokens int
	// hasDecoded is true once this engine has generated a token.
	hasDecoded bool
	// importedAt is when the import of the KV cache completes.
	importedAt time.Duration
}

// kvTokens returns the KV memory that the sequence occupies from its admission to its end, in tokens.
func (s *sequence) kvTokens() int64 {
	if s.Phase == PhasePrefillOnly {
		return int64(s.PromptTokens)
	}
	return int64(s.PromptTokens + s.OutputTokens)
}

func (s *sequence) contextTokens() int64 { return int64(s.PromptTokens + s.generatedTokens) }

func (s *sequence) outputLeft() int { return s.OutputTokens - s.generatedTokens }
