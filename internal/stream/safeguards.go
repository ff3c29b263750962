package stream

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of streams. Tests disable one to show that answers are then mixed, incomplete or repeated;
// processes always run with all of them.
const (
	// EventEchoCheck accepts only events of the current exchange.
	EventEchoCheck safeguard.Safeguard = "event echo check"
	// OffsetCheck delivers a token only at the offset that follows the last delivered one.
	OffsetCheck safeguard.Safeguard = "offset check"
	// CompletionCheck treats an answer as complete only after its finish and usage events.
	CompletionCheck safeguard.Safeguard = "whole end"
)
