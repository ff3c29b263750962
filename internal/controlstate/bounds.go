package controlstate

import "time"

// Limits on the records that the replicated state retains. Reaching one of them never causes a declaration to be refused;
// each constant says what is dropped or refused instead.
const (
	// MaximumRequestRecords is the number of first answers retained for resends. A resend
	// that comes after as many later submissions is treated as a new submission;
	// its change number still prevents it from being accepted twice.
	MaximumRequestRecords = 4096
	// MaximumChangeRecords is the number of accepted revisions whose change numbers
	// are retained one by one. Unused numbers below the oldest of them count as taken.
	MaximumChangeRecords = 4096
	// MaximumTombstones is the number of deletions retained for deltas. A node whose revision
	// is older than a dropped deletion gets the full configuration.
	MaximumTombstones = 4096
	// MaximumObjectVersions is the number of earlier object versions retained for queries.
	MaximumObjectVersions = 4096
	// MaximumAuditRecords is the number of audit records retained; the oldest are dropped.
	MaximumAuditRecords = 8192
	// MaximumOrderRecords is the number of finished orders retained for all engines together.
	MaximumOrderRecords = 8192
	// MaximumClaims is the number of claims retained; further claims are refused until some expire.
	MaximumClaims = 200_000
	// MaximumTenantClaims is the number of claims that one tenant may hold.
	MaximumTenantClaims = MaximumClaims / 8
	// MaximumTotalOutcomeBytes limits the bodies stored as outcomes of claims, and
	// MaximumTenantOutcomeBytes those of one tenant; bodies beyond them are not stored.
	MaximumTotalOutcomeBytes  = 128 << 20
	MaximumTenantOutcomeBytes = MaximumTotalOutcomeBytes / 8
	// MaximumReleasedAttempts is the number of attempts per claim that are recorded as
	// having released it; the oldest is dropped.
	MaximumReleasedAttempts = 16
	// MaximumEngines is the number of recorded engines; further engines are refused.
	MaximumEngines = 10_000
)

// Limits on the contents of one command.
const (
	MaximumObjects        = 100_000 // objects in force
	MaximumNameBytes      = 128     // names of objects, tenants and engines
	MaximumAPIKeys        = 64      // of one tenant
	MaximumListEntries    = 1024    // of one list field of an object
	MaximumTextBytes      = 1024    // of a command's text in a record; longer texts are truncated
	MaximumRequestIDBytes = 128
	MaximumClaimKeyBytes  = 256
	MaximumOutcomeBytes   = 32 << 10 // of the response body that is recorded as the outcome of a claimed request
	// MaximumChangeNumberStep is how far a change number may exceed the highest one that was accepted.
	MaximumChangeNumberStep = 1_000_000
	// MinimumSaltSeedBytes is the minimum number of random bytes from which new cache salts are derived.
	MinimumSaltSeedBytes = 16
)

// MaximumClaimLifetime is the longest time for which a claim is retained.
const MaximumClaimLifetime = 24 * time.Hour
