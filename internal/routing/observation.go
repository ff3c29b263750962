package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Observation is an event at a back end that the gateway reports to the Router.
type Observation interface{ isObservation() }

// Dispatch reports that a request is sent, before its first byte. Every Dispatch is followed by exactly one
// Completion or Failure with the same BackEnd and Exchange.
type Dispatch struct {
	BackEnd      string
	Exchange     string
	PromptTokens int // expected prefill: without the tokens expected in the cache
	PrefixBlocks []uint64
	CachedAtHome bool // from the Choice; the usage in the answer then updates the hit rate at homes
}

// AnswerHeaders reports what the headers of an answer said about the back end.
type AnswerHeaders struct {
	BackEnd     string
	Incarnation uint64 // 0 if the answer did not contain it
	// Exchange is the request that was answered. The state may be as old as its dispatch, so it confirms the
	// back end as of then, or as of the arrival of the answer if Exchange is empty.
	Exchange string
	// State is empty if the answer did not contain it.
	State enginecontract.ServiceState
	// Role is empty if the answer did not contain it.
	Role enginecontract.Role
	// Load is nil if the answer did not contain it. It was measured Age ago.
	Load *Load
	Age  time.Duration
	// Backoff is how long, from now on, the back end wants no requests from this gateway; 0 if it did not ask.
	Backoff time.Duration
	// Limit is the back end's limit for all gateways together; the zero value means no limit, and nil that the
	// answer did not contain it.
	Limit *backpressure.Limit
}

// FirstToken reports the first token of an exchange. It shows that the prompt has been prefilled.
type FirstToken struct {
	BackEnd  string
	Exchange string
}

// Completion reports that an exchange has ended without a fault of the back end.
type Completion struct {
	BackEnd  string
	Exchange string
	// PromptTokens and CachedTokens are from the usage in the answer; PromptTokens is 0 if there was none.
	PromptTokens int
	CachedTokens int
}

// Failure reports that an exchange has failed because of the back end or the network. The back end is avoided for
// a while.
type Failure struct {
	BackEnd  string
	Exchange string
}

func (Dispatch) isObservation()      {}
func (AnswerHeaders) isObservation() {}
func (FirstToken) isObservation()    {}
func (Completion) isObservation()    {}
func (Failure) isObservation()       {}
