package admission

import "time"

// Result describes how a request in flight ended.
type Result struct {
	// PromptTokens and OutputTokens are the tokens used; both 0 if unknown.
	PromptTokens int
	OutputTokens int
	// Wait is the time that the request took beyond its own work. It applies only if
	// RecordFirstToken was not called.
	Wait time.Duration
	// DeadlineMissed is true if the request was cancelled because its deadline had passed.
	DeadlineMissed bool
	// Overloaded is true if a back end refused the request because of overload.
	Overloaded bool
	// Failed is true if the request did not complete. Without DeadlineMissed or Overloaded,
	// a failure says nothing about load.
	Failed bool
}
