package placement

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Request is a request that needs a back end.
type Request struct {
	// Now is the time of the decision.
	Now time.Duration
	// Stage is that of the back ends which answer: StageWhole for services without engines.
	Stage serving.Stage
	// Zone is preferred: the relay's, or that of the engine that holds the prompt.
	Zone string
	// Rank is the request's at engines.
	Rank Rank
	// Target is the time to the first event that is in time, Gap the longest pause between
	// events that is, and Stride the tokens of one event.
	Target, Gap time.Duration
	Stride      int
	// Prompt is what is to be read, Tokens its length; 0 when an engine has read it.
	Prompt []PrefixBlock
	Tokens int
	// TokenTransferTime is how long the memory of one token is on its way between engines.
	TokenTransferTime time.Duration
	// UncachedShare is the part of prompts that usually has to be read, in (0, 1].
	UncachedShare float64
	// SlotHoldTime is how long requests that run now keep their slots, on average; 0 when not known.
	SlotHoldTime time.Duration
	// TimeLeft is what is left of the client's time.
	TimeLeft time.Duration
	// PrefillWaits counts how often the request has waited for another one's reading.
	PrefillWaits int
	// MayHaveRun tells that the request cannot be refused as not run any more.
	MayHaveRun bool
}
