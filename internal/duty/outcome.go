package duty

// Outcome is what is known of a call.
type Outcome int

// Outcomes of calls.
const (
	// Lost calls may be carried out now, later or never.
	Lost Outcome = iota
	// Taken calls are done.
	Taken
	// Refused calls were not sent or not taken, and never will be.
	Refused
	// Overtaken calls were refused since the platform has seen a later holder's fencing token.
	Overtaken
)

// String names the outcome in logs and metrics.
func (o Outcome) String() string { return [...]string{"lost", "taken", "refused", "overtaken"}[o] }
