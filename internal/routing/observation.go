package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Observation is one thing that the gateway saw happen at a back end.
type Observation interface{ isObservation() }

// Dispatch tells that a request was sent, before its first byte left. Every Dispatch is
// followed by exactly one Finished or Failed with the same BackEnd and Exchange.
type Dispatch struct {
	BackEnd      string
	Exchange     string
	PromptTokens int // expected to be read, less those expected in the cache
	PrefixBlocks []uint64
	CachedAtHome bool // of the Choice; routing learns from it what a home is worth
}

// AnswerHeaders tells what an answer's headers said about the back end.
type AnswerHeaders struct {
	BackEnd     string
	Incarnation uint64 // 0 when the answer did not tell
	// Exchange is the request that was answered. The state may be as old as its
	// sending, so a confirmation counts from then; empty counts from the arrival.
	Exchange string
	// State is empty when the answer did not tell.
	State enginecontract.ServiceState
	// Role is empty when the answer did not tell.
	Role enginecontract.Role
	// Load is nil when the answer did not tell. It was measured Age ago.
	Load *Load
	Age  time.Duration
	// Backoff is how long the back end wants nothing from this gateway, from now on; 0 when it did not ask.
	Backoff time.Duration
	// Limit is what the back end takes of all gateways together, the zero value for no limit; nil when the answer said
	// nothing of that.
	Limit *backpressure.Limit
}

// FirstToken tells that the first token of an exchange has come. Routing learns
// from it how much of the prompts at a back end is still unread.
type FirstToken struct {
	BackEnd  string
	Exchange string
}

// Completion tells that an exchange has ended without a fault of the back end.
type Completion struct {
	BackEnd  string
	Exchange string
	// PromptTokens and CachedTokens are what the answer's usage said; PromptTokens
	// is 0 when it said nothing.
	PromptTokens int
	CachedTokens int
}

// Failure tells that an exchange has ended by a fault of the back end or of the
// way there; the back end is avoided for a while.
type Failure struct {
	BackEnd  string
	Exchange string
}

func (Dispatch) isObservation()      {}
func (AnswerHeaders) isObservation() {}
func (FirstToken) isObservation()    {}
func (Completion) isObservation()    {}
func (Failure) isObservation()       {}
