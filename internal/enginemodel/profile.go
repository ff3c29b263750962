package enginemodel

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Profile tells how fast one engine is and how much it holds. The sources of the
// default's figures are in docs/ENGINE-PROFILE.md.
type Profile struct {
	Name string
	// PrefillTokensPerSecond is the rate at which prompt tokens are read.
	PrefillTokensPerSecond float64
	// StepBase is the fixed time of one step of the batch.
	StepBase time.Duration
	// StepPerSequence is added for each sequence that writes a token in the step.
	StepPerSequence time.Duration
	// StepPerContextToken is added for each token of context those sequences hold.
	StepPerContextToken time.Duration
	// MaxBatch is the largest number of sequences that run at once.
	MaxBatch int
	// MaxWaiting is the largest number of sequences that wait; 0 is no limit.
	MaxWaiting int
	// PrefillChunk is the largest number of prompt tokens read in one step of an
	// engine in this role.
	PrefillChunk map[enginecontract.Role]int
	// KVCapacityTokens is the memory for running sequences, in tokens.
	KVCapacityTokens int64
	// KVBytesPerToken is the size of one token's KV cache.
	KVBytesPerToken int64
	// KVTransferBytesPerSecond is the rate at which an engine imports KV caches.
	KVTransferBytesPerSecond float64
	// BlockTokens is the number of prompt tokens in one block of prefix cache.
	BlockTokens int
	// PrefixCacheBlocks is the memory for cached prefixes, in blocks; 0 is no cache.
	PrefixCacheBlocks int
	// RoleChange is the time an empty engine is out of service to change its role.
	RoleChange time.Duration
	// WeightLoad is the time to load a model's weights beyond the weight store's rate.
	WeightLoad time.Duration
	// AdapterLoad is the time to load or unload one adapter.
	AdapterLoad time.Duration
}

// DefaultProfile is a 70-billion-parameter model on eight accelerators; the
// derivation of each figure is in docs/ENGINE-PROFILE.md.
func DefaultProfile() Profile {
	return Profile{
		Name:                   "dense-70b-8",
		PrefillTokensPerSecond: 20_000,
		StepBase:               10 * time.Millisecond,
		StepPerSequence:        60 * time.Microsecond,
		StepPerContextToken:    20 * time.Nanosecond,
		MaxBatch:               128,
		PrefillChunk: map[enginecontract.Role]int{
			enginecontract.RolePrefill: 8192,
			enginecontract.RoleMixed:   512,
			enginecontract.RoleDecode:  128,
		},
		KVCapacityTokens:         900_000,
		KVBytesPerToken:          327_680,
		KVTransferBytesPerSecond: 40e9,
		BlockTokens:              256,
		PrefixCacheBlocks:        1_500,
		RoleChange:               4 * time.Second,
		WeightLoad:               6 * time.Second,
		AdapterLoad:              500 * time.Millisecond,
	}
}

// Check returns an error that names the first figure no engine can have.
func (p Profile) Check() error {
	switch {
	case p.PrefillTokensPerSecond <= 0:
		return trace.BadParameter("profile %q: prefill rate must be above 0 tokens/s", p.Name)
	case p.StepBase <= 0 || p.StepPerSequence < 0 || p.StepPerContextToken < 0:
		return trace.BadParameter("profile %q: step times must not be negative and the base must be above 0", p.Name)
	case p.MaxBatch <= 0:
		return trace.BadParameter("profile %q: the batch must hold at least 1 sequence", p.Name)
	case p.KVCapacityTokens <= 0:
		return trace.BadParameter("profile %q: KV capacity must be above 0 tokens", p.Name)
	case p.KVTransferBytesPerSecond <= 0 || p.KVBytesPerToken <= 0:
		return trace.BadParameter("profile %q: KV bytes per token and transfer rate must be above 0", p.Name)
	case p.PrefixCacheBlocks > 0 && p.BlockTokens <= 0:
		return trace.BadParameter("profile %q: a prefix cache needs block_tokens above 0", p.Name)
	}
	for _, role := range []enginecontract.Role{enginecontract.RolePrefill, enginecontract.RoleMixed, enginecontract.RoleDecode} {
		if p.PrefillChunk[role] <= 0 {
			return trace.BadParameter("profile %q: the prefill chunk of role %q must be above 0 tokens", p.Name, role)
		}
	}
	return nil
}

// Faster returns the profile of an engine that is factor times as fast in all; 0 is 1.
func (p Profile) Faster(factor float64) Profile {
	if factor == 0 || factor == 1 {
		return p
	}
	p.PrefillTokensPerSecond *= factor
	p.KVTransferBytesPerSecond *= factor
	for _, part := range []*time.Duration{&p.StepBase, &p.StepPerSequence, &p.StepPerContextToken, &p.RoleChange, &p.WeightLoad, &p.AdapterLoad} {
		*part = time.Duration(float64(*part) / factor)
	}
	return p
}

// PrefillTime is the time to read tokens of a prompt without steps' fixed cost.
func (p Profile) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.PrefillTokensPerSecond * float64(time.Second))
}

// TransferTime is the time to import the KV cache of tokens on an idle link.
func (p Profile) TransferTime(tokens int) time.Duration {
	bytes := float64(tokens) * float64(p.KVBytesPerToken)
	return time.Duration(bytes / p.KVTransferBytesPerSecond * float64(time.Second))
}

// DecodeStep is the time of one step in which sequences with contextTokens of
// context in all write one token each.
func (p Profile) DecodeStep(sequences int, contextTokens int64) time.Duration {
	return p.StepBase + time.Duration(sequences)*p.StepPerSequence + time.Duration(contextTokens)*p.StepPerContextToken
}
