package routing

import "slices"

// exclusionFilter drops back ends that have failed this request, and those in a cooldown after failures of any
// request. If no other is left, a second pass admits those in a cooldown: trying them is better than refusing.
type exclusionFilter struct{}

func (exclusionFilter) Reason() error { return ErrAllExcluded }

func (exclusionFilter) Keep(decision *Decision, candidate *Candidate) bool {
	cool := decision.Now >= candidate.cooldownUntil || decision.allowCooldown
	return cool && !slices.Contains(decision.Excluded, candidate.Name)
}
