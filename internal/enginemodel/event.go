package enginemodel

import "time"

// EventType is the kind of an event of a sequence.
type EventType int

// Events of a sequence.
const (
	// EventFirstToken is the first token that this engine decodes for the sequence.
	EventFirstToken EventType = iota
	// EventToken is each further token; reported only WithTokenEvents.
	EventToken
	// EventPrefillDone ends a sequence of PhasePrefillOnly.
	EventPrefillDone
	// EventDone ends every other sequence, after the event of its last token.
	EventDone
	// EventStarted means that a sequence left the waiting queue; reported only WithTokenEvents.
	EventStarted
)

// Event is one event of one sequence.
type Event struct {
	At   time.Duration
	Type EventType
	ID   string
	// OutputTokens is the number of output tokens so far, including those that Request.AlreadyDelivered counts.
	OutputTokens int
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int
}

// CacheEvent describes one block that was stored in the prefix cache or evicted from it.
type CacheEvent struct {
	Stored bool
	Block  uint64
}

// Load is the engine's current load, without a lag.
type Load struct {
	Running             int
	Waiting             int
	WaitingPromptTokens int64
	// RunningOutputTokens is the number of output tokens that running sequences still have to decode.
	RunningOutputTokens int64
	// KVCacheUsed is the fraction of the KV cache that running sequences occupy, 0 to 1.
	KVCacheUsed float64
	// Totals since the engine was created.
	PromptTokensDone int64
	OutputTokensDone int64
	CachedTokensDone int64
}
