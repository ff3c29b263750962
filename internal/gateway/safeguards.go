package gateway

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of the gateway's own. Tests switch one off to show that a promise then
// breaks; processes always run with all of them.
const (
	// ClaimBeforeRun runs a once-only request with a key only under a granted claim.
	ClaimBeforeRun safeguard.Safeguard = "claim before run"
	// RetryOnlyNotRun sends a once-only request again only after a true not run.
	RetryOnlyNotRun safeguard.Safeguard = "retry only not run"
	// SaltPerTenant gives each tenant's prompts a cache salt of their own.
	SaltPerTenant safeguard.Safeguard = "salt per tenant"
)
