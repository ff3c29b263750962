package controlstate

import "time"

// Bounds of the replicated state's memory. Reaching one never blocks a declaration;
// what is forgotten, or refused, is said with each.
const (
	// MaximumRequestRecords is the number of first answers kept for resends. A resend
	// that comes after as many later submissions is treated as a new submission;
	// its change number still protects it from being accepted twice.
	MaximumRequestRecords = 4096
	// MaximumChangeRecords is the number of accepted revisions whose change numbers
	// are kept one by one. Unused numbers below the oldest of them count as taken.
	MaximumChangeRecords = 4096
	// MaximumTombstones is the number of deletions kept for deltas. A node that
	// is behind the oldest forgotten one gets the full configuration.
	MaximumTombstones = 4096
	// MaximumObjectVersions is the number of earlier object versions kept for queries.
	MaximumObjectVersions = 4096
	// MaximumAuditRecords is the number of audit records kept; the oldest are forgotten.
	MaximumAuditRecords = 8192
	// MaximumOrderRecords is the number of ended orders kept over all engines.
	MaximumOrderRecords = 8192
	// MaximumClaims is the number of claims kept; more are refused until some expire.
	MaximumClaims = 200_000
	// MaximumTenantClaims is the part of them that one tenant may hold.
	MaximumTenantClaims = MaximumClaims / 8
	// MaximumTotalOutcomeBytes bounds the bodies kept as outcomes of claims, and
	// MaximumTenantOutcomeBytes those of one tenant; beyond, bodies are left out.
	MaximumTotalOutcomeBytes  = 128 << 20
	MaximumTenantOutcomeBytes = MaximumTotalOutcomeBytes / 8
	// MaximumReleasedAttempts is the number of attempts that are remembered to have
	// given one claim back; the oldest is forgotten.
	MaximumReleasedAttempts = 16
	// MaximumEngines is the number of engines recorded; more are refused.
	MaximumEngines = 10_000
)

// Bounds of what one command may hold.
const (
	MaximumObjects        = 100_000 // objects in force
	MaximumNameBytes      = 128     // names of objects, tenants and engines
	MaximumAPIKeys        = 64      // of one tenant
	MaximumListEntries    = 1024    // of one list field of an object
	MaximumTextBytes      = 1024    // remembered of a command's text
	MaximumRequestIDBytes = 128
	MaximumClaimKeyBytes  = 256
	MaximumOutcomeBytes   = 32 << 10 // of a claimed request's body
	// MaximumChangeNumberStep is how far a change number may lie above the highest one.
	MaximumChangeNumberStep = 1_000_000
	// MinimumSaltSeedBytes is the size of the random bytes behind new cache salts.
	MinimumSaltSeedBytes = 16
)

// MaximumClaimLifetime is the longest time a claim is remembered.
const MaximumClaimLifetime = 24 * time.Hour
