package claims

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

const (
	defaultCallTimeout   = 500 * time.Millisecond
	defaultBeginTimeout  = 3 * time.Second
	defaultFinishTimeout = 30 * time.Second
	defaultFirstPause    = 20 * time.Millisecond
	defaultLongestPause  = time.Second
)

// MaximumOutcomeBytes is the largest body that a claim keeps as its outcome. Of a
// larger one, status and type are kept and the body is left out.
const MaximumOutcomeBytes = 32 << 10

// Safeguards of claims. Tests switch one off to show that requests then run twice
// or verdicts are false; processes always run with all of them.
const (
	// GrantRequired refuses a request whose claim was not granted in time.
	GrantRequired safeguard.Safeguard = "claim grant required"
	// NoLateRun never runs an attempt that was given up on, though its grant arrives late.
	NoLateRun safeguard.Safeguard = "no late run"
	// ReleaseOnlyNotRun releases a claim only by the verdict not run.
	ReleaseOnlyNotRun safeguard.Safeguard = "release only not run"
)

// Config holds the fixed parameters of claims.
type Config struct {
	// CallTimeout bounds one call to one controller; default 500 ms.
	CallTimeout time.Duration
	// BeginTimeout bounds all calls for one claim; default 3 s, and never more than
	// half of the time that the request has left.
	BeginTimeout time.Duration
	// FinishTimeout bounds the resending of an outcome; default 30 s.
	FinishTimeout time.Duration
	// Safeguards is the zero Set but in tests.
	Safeguards safeguard.Set
}

// WithDefaults returns the config with unset fields filled in.
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
