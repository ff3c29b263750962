package admission

import "time"

// Result is how a started request ended.
type Result struct {
	// PromptTokens and OutputTokens were used; both 0 when unknown.
	PromptTokens int
	OutputTokens int
	// Wait is how much longer than its own work the request took; it counts when
	// FirstToken was not told.
	Wait time.Duration
	// DeadlineMissed tells that it was given up because its deadline had passed.
	DeadlineMissed bool
	// Overloaded tells that a back end refused it for too much load.
	Overloaded bool
	// Failed tells that it did not complete. Unless it Missed or was Overloaded, that says
	// nothing about load.
	Failed bool
}
