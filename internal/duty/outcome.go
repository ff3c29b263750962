package duty

// Outcome is the known result of a call.
type Outcome int

// Results of calls.
const (
	// Lost means that no answer came: the platform may carry out the call now, later or never.
	Lost Outcome = iota
	// Accepted means that the platform has carried out the call.
	Accepted
	// Refused means that the call was not sent or was rejected, and will never be carried out.
	Refused
	// Superseded means that the call was rejected because the platform has seen a later holder's fencing token.
	Superseded
	// Declined means that the call was rejected either because of a later holder's fencing token or because
	// the platform cannot provide what the call requests. The platform does not report which.
	Declined
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"lost", "taken", "refused", "overtaken", "declined"}[o]
}
