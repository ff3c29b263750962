package stream

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of streams. Tests switch one off to show that answers are then mixed, short
// or repeated; processes always run with all of them.
const (
	// EventEchoCheck accepts only events of the exchange under way.
	EventEchoCheck safeguard.Safeguard = "event echo check"
	// OffsetCheck delivers a token only at the offset that follows the last one.
	OffsetCheck safeguard.Safeguard = "offset check"
	// CompletionCheck calls an answer whole only after its finish and usage events.
	CompletionCheck safeguard.Safeguard = "whole end"
)
