package routing

import "time"

// Decision is the input of the pipeline's plugins for one stage of a decision. Plugins must not keep it.
type Decision struct {
	Now     time.Duration
	Request *Request
	Stage   Stage
	// PrefillZone is the zone of the chosen prefill engine. It is set in StageDecode.
	PrefillZone string
	// Excluded names back ends that have failed this request.
	Excluded []string

	router *Router
	prefix prefixMatch
	// allowCooldown admits back ends in a cooldown.
	allowCooldown bool
}

// Filter drops back ends that must not get the request.
type Filter interface {
	// Reason returns the error for a request for which this filter left no back end.
	Reason() error
	// Keep reports whether the candidate may get the request.
	Keep(decision *Decision, candidate *Candidate) bool
}

// Scorer estimates a part of the time that the request takes at a candidate.
type Scorer interface {
	// Cost returns the part that the scorer estimates. It may be negative for a saving.
	Cost(decision *Decision, candidate *Candidate) time.Duration
}

// Picker chooses one of the scored candidates, of which there is at least one.
type Picker interface {
	// Pick returns an index into scored.
	Pick(decision *Decision, scored []ScoredCandidate) int
}

// ScoredCandidate is a candidate with the sum of its costs.
type ScoredCandidate struct {
	Candidate *Candidate
	Cost      time.Duration
}

// StandardFilters returns the default filters in the order in which they run.
func StandardFilters() []Filter {
	return []Filter{modelFilter{}, confirmationFilter{}, backoffFilter{}, limitFilter{}, exclusionFilter{}}
}

// StandardScorers returns the default scorers.
func StandardScorers() []Scorer {
	return []Scorer{distanceScorer{}, workScorer{}, loadScorer{}, prefixScorer{}}
}
