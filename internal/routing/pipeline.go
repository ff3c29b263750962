package routing

import "time"

// Decision is what the plugins see of one stage of one decision. Plugins must not
// keep it.
type Decision struct {
	Now     time.Duration
	Request *Request
	Stage   Stage
	// PrefillZone is the zone of the chosen prefill engine in StageOutput.
	PrefillZone string
	// Excluded names back ends that have failed this request.
	Excluded []string

	router *Router
	prefix prefixView
	// allowCooling lets back ends through that are cooling down.
	allowCooling bool
}

// Filter drops back ends that must not get the request.
type Filter interface {
	// Reason is the error that tells of a request for which this filter left nothing.
	Reason() error
	// Keep reports whether the candidate may get the request.
	Keep(decision *Decision, candidate *Candidate) bool
}

// Scorer adds to the time that the request is expected to take at a candidate.
type Scorer interface {
	// Cost may be negative: a saving.
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

// StandardFilters returns the filters in force unless Config replaces them, in
// the order in which they run.
func StandardFilters() []Filter {
	return []Filter{modelFilter{}, confirmationFilter{}, restFilter{}, limitFilter{}, exclusionFilter{}}
}

// StandardScorers returns the scorers in force unless Config replaces them.
func StandardScorers() []Scorer {
	return []Scorer{distanceScorer{}, workScorer{}, loadScorer{}, prefixScorer{}}
}
