package routing

import "slices"

// exclusionFilter drops back ends that have failed this request, and those that
// are cooling down after failures of any request. When nothing else is left, a
// second pass takes the ones that are cooling down: trying is better than refusing.
type exclusionFilter struct{}

func (exclusionFilter) Reason() error { return ErrAllExcluded }

func (exclusionFilter) Keep(decision *Decision, candidate *Candidate) bool {
	cool := decision.Now >= candidate.avoidUntil || decision.allowCooling
	return cool && !slices.Contains(decision.Excluded, candidate.Name)
}
