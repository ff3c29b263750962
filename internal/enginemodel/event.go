package enginemodel

import "time"

// EventType tells what happened to a sequence.
type EventType int

// Events of a sequence.
const (
	// EventFirstToken is the first token this engine writes for the sequence.
	EventFirstToken EventType = iota
	// EventToken is each further token; only WithTokenEvents.
	EventToken
	// EventPrefillDone ends a PhasePrefillOnly sequence.
	EventPrefillDone
	// EventDone ends every other sequence; it follows the last token's event.
	EventDone
	// EventStarted tells that a sequence left the waiting line; only WithTokenEvents.
	EventStarted
)

// Event is one thing that happened to one sequence.
type Event struct {
	At   time.Duration
	Type EventType
	ID   string
	// OutputTokens written so far, including those already delivered on submission.
	OutputTokens int
	// CachedTokens of the prompt were found in the prefix cache.
	CachedTokens int
}

// CacheEvent tells that a block entered or left the prefix cache.
type CacheEvent struct {
	Stored bool
	Block  uint64
}

// Load is the engine's present load; nothing here lags.
type Load struct {
	Running             int
	Waiting             int
	WaitingPromptTokens int64
	// RunningOutputTokens is the output that running sequences have yet to write.
	RunningOutputTokens int64
	// KVCacheUsed is the share of memory that running sequences hold, 0 to 1.
	KVCacheUsed float64
	// Totals since the engine was made.
	PromptTokensDone int64
	OutputTokensDone int64
	CachedTokensDone int64
}
