package routing

// restFilter drops back ends that have asked this gateway to be left alone for now. Unlike a cooling down after
// failures this is no guess, so that nothing is sent to them even where no other back end is left.
type restFilter struct{}

func (restFilter) Reason() error { return ErrAllInBackoff }

func (restFilter) Keep(decision *Decision, candidate *Candidate) bool {
	return candidate.signals.RemainingBackoff(decision.Now) == 0
}
