package upstream

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of exchanges. Tests switch one off to show that answers then reach the wrong
// caller or verdicts are false; processes always run with all of them.
const (
	// EchoCheck refuses an answer that does not echo its exchange.
	EchoCheck safeguard.Safeguard = "answer echo check"
	// SentMayHaveRun calls an exchange without an answer not run only when nothing was sent.
	SentMayHaveRun safeguard.Safeguard = "sent may have run"
)
