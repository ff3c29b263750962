package duty

// Outcome is what is known of a call.
type Outcome int

// Outcomes of calls.
const (
	// Lost calls may be carried out now, later or never.
	Lost Outcome = iota
	// Accepted calls are done.
	Accepted
	// Refused calls were not sent or not taken, and never will be.
	Refused
	// Superseded calls were refused since the platform has seen a later holder's fencing token.
	Superseded
	// Declined calls were refused for a later holder's fencing token, or since there is nothing of
	// what they ask for: the platform does not tell which.
	Declined
)

// String names the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"lost", "taken", "refused", "overtaken", "declined"}[o]
}
