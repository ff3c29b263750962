package routing

// confirmationFilter keeps back ends that were confirmed to be serving within ConfirmationLimit.
type confirmationFilter struct{}

func (confirmationFilter) Reason() error { return ErrNoneConfirmed }

func (confirmationFilter) Keep(decision *Decision, candidate *Candidate) bool {
	return candidate.isServing() && decision.Now-candidate.ConfirmedAt <= ConfirmationLimit
}
