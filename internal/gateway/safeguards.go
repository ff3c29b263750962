package gateway

import "github.com/hazelpitch/hazelpitch/internal/safeguard"

// Safeguards of the gateway. A test can disable one to show that it is needed;
// processes always run with all of them.
const (
	// ClaimBeforeRun runs a non-repeatable request with an idempotency key only under a granted claim.
	ClaimBeforeRun safeguard.Safeguard = "claim before run"
	// RetryOnlyNotRun resends a non-repeatable request only after the verdict "not run".
	RetryOnlyNotRun safeguard.Safeguard = "retry only not run"
	// SaltPerTenant gives the prompts of each tenant their own cache salt.
	SaltPerTenant safeguard.Safeguard = "salt per tenant"
)
