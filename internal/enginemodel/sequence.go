package enginemodel

import "time"

// sequence is a request inside the engine.
type sequence struct {
	Request
	cached int
	// unread prompt tokens, counting already delivered output.
	unread int
	// written output tokens, counting those already delivered.
	written int
	// wroteHere tells that this engine has written at least one token.
	wroteHere bool
	// importedAt is when the imported KV cache is whole.
	importedAt time.Duration
}

// memory is what the sequence holds of the KV memory, reserved for its whole life.
func (s *sequence) memory() int64 {
	if s.Phase == PhasePrefillOnly {
		return int64(s.PromptTokens)
	}
	return int64(s.PromptTokens + s.OutputTokens)
}

func (s *sequence) context() int64 { return int64(s.PromptTokens + s.written) }

func (s *sequence) left() int { return s.OutputTokens - s.written }
