package placement

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Request is a request that needs a back end.
type Request struct {
	// Now is the time of the decision.
	Now time.Duration
	// Stage is the stage of the back ends that answer: StageWhole for services without engines.
	Stage serving.Stage
	// Zone is the preferred zone: the relay's, or that of the engine that has prefilled the prompt.
	Zone string
	// Rank is the request's rank at engines.
	Rank Rank
	// Target is the target for the time to the first event, Gap the target for the longest pause between
	// events, and Stride the number of tokens per event.
	Target, Gap time.Duration
	Stride      int
	// Prompt is the part of the prompt that has to be prefilled and Tokens its length, which is 0 if an engine has
	// prefilled the prompt already.
	Prompt []PrefixBlock
	Tokens int
	// TokenTransferTime is how long the KV transfer of one token between engines takes.
	TokenTransferTime time.Duration
	// FleetPerToken is how long prefill engines take on average for the first token of a prompt; 0 if the time of the
	// evaluated engine counts instead.
	FleetPerToken time.Duration
	// UncachedShare is the usual share of prompt tokens that are prefilled, in (0, 1].
	UncachedShare float64
	// SlotHoldTime is how long running requests hold their slots on average; 0 if unknown.
	SlotHoldTime time.Duration
	// TimeLeft is the time until the client's deadline.
	TimeLeft time.Duration
	// PrefillWaits counts how often the request has waited for another request's prefill.
	PrefillWaits int
	// MayHaveRun is true if the request may have run, so that it can no longer be refused as not run.
	MayHaveRun bool
}
