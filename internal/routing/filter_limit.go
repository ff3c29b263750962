package routing

// limitFilter drops back ends whose limit for all gateways together leaves no room, as far as this gateway knows.
type limitFilter struct{}

func (limitFilter) Reason() error { return ErrAllLimited }

func (limitFilter) Keep(decision *Decision, candidate *Candidate) bool {
	return candidate.signals.PermitWait(decision.Now) == 0
}
