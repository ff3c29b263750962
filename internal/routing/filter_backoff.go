package routing

// backoffFilter drops back ends in backoff, which have asked this gateway to send nothing for a time. Unlike a
// cooldown, which is a guess after failures, backoff is respected even if no other back end is left.
type backoffFilter struct{}

func (backoffFilter) Reason() error { return ErrAllInBackoff }

func (backoffFilter) Keep(decision *Decision, candidate *Candidate) bool {
	return candidate.signals.RemainingBackoff(decision.Now) == 0
}
