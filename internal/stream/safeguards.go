package stream

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of streams. Tests switch one off to show that answers are then mixed, short
// or repeated; processes always run with all of them.
const (
	// EventEcho accepts only events of the exchange under way.
	EventEcho safeguard.Safeguard = "event echo check"
	// OffsetCheck delivers a token only at the offset that follows the last one.
	OffsetCheck safeguard.Safeguard = "offset check"
	// WholeEnd calls an answer whole only after its finish and usage events.
	WholeEnd safeguard.Safeguard = "whole end"
)
