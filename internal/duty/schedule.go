package duty

import "time"

// Subject identifies what calls are about. The platform checks fencing tokens separately for each subject.
type Subject string

// Config limits the rate of the calls of one holder.
type Config struct {
	// Interval is the minimum time between two calls on any subjects; 0 means no minimum.
	Interval time.Duration
	// RetryDelay is the wait before a call that was not accepted is repeated; 0 means DefaultRetryDelay.
	RetryDelay time.Duration
}

// DefaultRetryDelay spares a platform that is slow or busy; a call usually takes about ten milliseconds.
const DefaultRetryDelay = 400 * time.Millisecond

// Schedule tracks the calls of one holder. Times are durations since a fixed origin and must not decrease.
type Schedule struct {
	config    Config
	subjects  map[Subject]*subjectState
	notBefore time.Duration
}

// subjectState is the state of the calls on one subject.
type subjectState struct {
	inFlight   bool
	superseded bool
	notBefore  time.Duration
}

// NewSchedule returns the schedule of a new holder, without any calls.
func NewSchedule(config Config) *Schedule {
	if config.RetryDelay == 0 {
		config.RetryDelay = DefaultRetryDelay
	}
	return &Schedule{config: config, subjects: map[Subject]*subjectState{}}
}

// MayCall reports whether a call on the subject may be made now.
func (s *Schedule) MayCall(now time.Duration, subject Subject) bool {
	state := s.stateOf(subject)
	return !state.inFlight && !state.superseded && now >= state.notBefore && now >= s.notBefore
}

// RecordStart records that a call on the subject was made. RecordOutcome must follow.
func (s *Schedule) RecordStart(now time.Duration, subject Subject) {
	s.stateOf(subject).inFlight = true
	s.notBefore = now + s.config.Interval
}

// RecordOutcome records the result of the call on the subject.
func (s *Schedule) RecordOutcome(now time.Duration, subject Subject, outcome Outcome) {
	state := s.stateOf(subject)
	state.inFlight = false
	switch outcome {
	case Accepted:
		state.notBefore = now
	case Superseded:
		state.superseded = true
	default:
		state.notBefore = now + s.config.RetryDelay
	}
}

// IsSuperseded reports whether the platform has seen a later holder on the subject.
func (s *Schedule) IsSuperseded(subject Subject) bool { return s.stateOf(subject).superseded }

func (s *Schedule) stateOf(subject Subject) *subjectState {
	if s.subjects[subject] == nil {
		s.subjects[subject] = &subjectState{}
	}
	return s.subjects[subject]
}
