package claims

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

const (
	defaultCallTimeout   = 500 * time.Millisecond
	defaultBeginTimeout  = 3 * time.Second
	defaultFinishTimeout = 30 * time.Second
	firstPause           = 20 * time.Millisecond
	maximumPause         = time.Second
)

// MaximumOutcomeBytes is the largest body that is stored as the outcome of a claim. For a larger
// body only the status and the content type are stored.
const MaximumOutcomeBytes = 32 << 10

// Safeguards of claims. Tests disable one to show that requests then run twice or that verdicts
// are wrong. Processes always run with all of them.
const (
	// GrantRequired refuses a request whose claim was not granted in time.
	GrantRequired safeguard.Safeguard = "claim grant required"
	// NoLateRun prevents an attempt that was given up from running when its grant arrives late.
	NoLateRun safeguard.Safeguard = "no late run"
	// ReleaseOnlyNotRun releases a claim only with the verdict NotRun.
	ReleaseOnlyNotRun safeguard.Safeguard = "release only not run"
)

// Config holds the parameters of claims.
type Config struct {
	// CallTimeout limits one call to one controller; default 500 ms.
	CallTimeout time.Duration
	// BeginTimeout limits all calls for one claim; default 3 s, and at most half of the time
	// left until the request's deadline.
	BeginTimeout time.Duration
	// FinishTimeout limits the time during which the recording of an outcome is retried; default 30 s.
	FinishTimeout time.Duration
	// Safeguards is the zero Set except in tests.
	Safeguards safeguard.Set
}

// WithDefaults returns the config with defaults in place of unset fields.
func (c Config) WithDefaults() Config {
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.BeginTimeout, defaultBeginTimeout)
	setDefault(&c.FinishTimeout, defaultFinishTimeout)
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
