package controlstate

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of the replicated state. Tests switch one off to show that the promise
// it keeps then breaks; processes always run with all of them.
const (
	// OneOrderAtATime refuses an order for an engine that may hold another.
	OneOrderAtATime safeguard.Safeguard = "one order at a time"
	// EpochCheck refuses orders of a leader that has lost its authority.
	EpochCheck safeguard.Safeguard = "authority epoch check"
	// ChangeNumberCheck lets one of two equal change numbers win.
	ChangeNumberCheck safeguard.Safeguard = "change number check"
	// ResendDeduplication gives a resent submission its first answer.
	ResendDeduplication safeguard.Safeguard = "resend deduplication"
	// BaseRevisionCheck refuses a change that was planned against another revision.
	BaseRevisionCheck safeguard.Safeguard = "base revision check"
	// ClaimCheck grants a claim to one attempt only.
	ClaimCheck safeguard.Safeguard = "claim check"
	// Quarantine holds requests back under which too many replicas have ended.
	Quarantine safeguard.Safeguard = "quarantine"
)
