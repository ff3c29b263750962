package planner

import "time"

// profiles are the engine profiles that models may name.
var profiles = map[string]EngineProfile{
	"dense-70b-8": {
		PrefillTokensPerSecond: 20_000,
		DecodeTokensPerSecond:  5_000,
		MixedPenalty:           0.2,
		StepBase:               10 * time.Millisecond,
		StepPerSequence:        60 * time.Microsecond,
		StepPerContextToken:    20 * time.Nanosecond,
		MaxBatch:               128,
		PrefillChunk:           8192,
		MixedChunk:             512,
		RoleChange:             4 * time.Second,
	},
}

// DefaultProfileName is the profile of models that name none or an unknown one.
const DefaultProfileName = "dense-70b-8"

// ProfileOf returns the assumed performance of engines with a declared profile.
func ProfileOf(name string) EngineProfile {
	if profile, known := profiles[name]; known {
		return profile
	}
	return profiles[DefaultProfileName]
}
