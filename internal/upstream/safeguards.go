package upstream

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of exchanges. Tests disable one to show that answers then reach the wrong caller or verdicts
// are wrong; processes always run with all of them.
const (
	// EchoCheck rejects an answer that does not echo its exchange.
	EchoCheck safeguard.Safeguard = "answer echo check"
	// SentMayHaveRun reports an exchange without an answer as not run only if no byte was sent.
	SentMayHaveRun safeguard.Safeguard = "sent may have run"
)
