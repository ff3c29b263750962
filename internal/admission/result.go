package admission

import "time"

// Result is how a started request ended.
type Result struct {
	// PromptTokens and OutputTokens were used; both 0 when unknown.
	PromptTokens int
	OutputTokens int
	// Wait is how much longer than its own work the request took: to its end, or
	// to its first token when the end says nothing about the back end.
	Wait time.Duration
	// Overloaded tells that a back end refused it for too much load.
	Overloaded bool
	// Failed tells that it ended for a reason that says nothing about load.
	Failed bool
}
