package controlstate

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of the replicated state. Tests switch one off to show that the guarantee which
// it protects then breaks; processes always run with all of them.
const (
	// OneOrderAtATime refuses an order for an engine that may hold another one.
	OneOrderAtATime safeguard.Safeguard = "one order at a time"
	// EpochCheck refuses orders of a leader that has lost its authority.
	EpochCheck safeguard.Safeguard = "authority epoch check"
	// ChangeNumberCheck accepts only one of several changes with the same change number.
	ChangeNumberCheck safeguard.Safeguard = "change number check"
	// ResendDeduplication answers a resent submission with its first answer.
	ResendDeduplication safeguard.Safeguard = "resend deduplication"
	// BaseRevisionCheck refuses a change that was planned against another revision.
	BaseRevisionCheck safeguard.Safeguard = "base revision check"
	// ClaimCheck grants a claim to one attempt only.
	ClaimCheck safeguard.Safeguard = "claim check"
	// Quarantine refuses requests that have crashed too many replicas.
	Quarantine safeguard.Safeguard = "quarantine"
)
