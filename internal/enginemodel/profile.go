package enginemodel

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Profile describes the speed and the capacity of one engine. The sources of the
// default values are in docs/ENGINE-PROFILE.md.
type Profile struct {
	Name string
	// PrefillTokensPerSecond is the rate of the prefill.
	PrefillTokensPerSecond float64
	// StepBase is the fixed time of one step of the batch.
	StepBase time.Duration
	// StepPerSequence is added for each sequence that decodes a token in the step.
	StepPerSequence time.Duration
	// StepPerContextToken is added for each context token of the sequences that decode a token in the step.
	StepPerContextToken time.Duration
	// MaxBatch is the largest number of sequences that run at once.
	MaxBatch int
	// MaxWaiting is the largest number of sequences that wait; 0 means no limit.
	MaxWaiting int
	// PrefillChunk is the largest number of prompt tokens that one step prefills, by the
	// engine's role.
	PrefillChunk map[enginecontract.Role]int
	// KVCapacityTokens is the KV memory for running sequences, in tokens.
	KVCapacityTokens int64
	// KVBytesPerToken is the size of one token's KV cache.
	KVBytesPerToken int64
	// KVTransferBytesPerSecond is the rate at which an engine imports KV caches.
	KVTransferBytesPerSecond float64
	// BlockTokens is the number of prompt tokens in one prefix block.
	BlockTokens int
	// PrefixCacheBlocks is the capacity of the prefix cache, in blocks; 0 means no cache.
	PrefixCacheBlocks int
	// RoleChange is the time for which an empty engine is out of service to change its role.
	RoleChange time.Duration
	// WeightLoad is the time to load a model's weights in addition to their transfer from the weight store.
	WeightLoad time.Duration
	// AdapterLoad is the time to load or unload one adapter.
	AdapterLoad time.Duration
}

// DefaultProfile returns the profile of a 70-billion-parameter model on eight accelerators;
// docs/ENGINE-PROFILE.md derives each value.
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

// Check returns an error that names the first invalid value.
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

// Faster returns the profile of an engine that is faster by the factor in every respect; 0 counts as 1.
func (p Profile) Faster(factor float64) Profile {
	if factor == 0 || factor == 1 {
		return p
	}
	p.PrefillTokensPerSecond *= factor
	p.KVTransferBytesPerSecond *= factor
	for _, duration := range []*time.Duration{&p.StepBase, &p.StepPerSequence, &p.StepPerContextToken, &p.RoleChange, &p.WeightLoad, &p.AdapterLoad} {
		*duration = time.Duration(float64(*duration) / factor)
	}
	return p
}

// PrefillTime returns the time to prefill the tokens without the fixed cost of the steps.
func (p Profile) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.PrefillTokensPerSecond * float64(time.Second))
}

// TransferTime returns the time to import the KV cache of the tokens over an idle link.
func (p Profile) TransferTime(tokens int) time.Duration {
	bytes := float64(tokens) * float64(p.KVBytesPerToken)
	return time.Duration(bytes / p.KVTransferBytesPerSecond * float64(time.Second))
}

// DecodeStep returns the duration of one step in which the sequences, with contextTokens of
// context in total, decode one token each.
func (p Profile) DecodeStep(sequences int, contextTokens int64) time.Duration {
	return p.StepBase + time.Duration(sequences)*p.StepPerSequence + time.Duration(contextTokens)*p.StepPerContextToken
}
