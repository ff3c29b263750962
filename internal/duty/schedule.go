package duty

import "time"

// Subject is what calls are about: the platform judges the holders of each subject by itself.
type Subject string

// Config bounds the calls of one holder.
type Config struct {
	// Interval is the least time between two calls; 0 for any.
	Interval time.Duration
	// RetryDelay is the wait before a call that was not taken is made again.
	RetryDelay time.Duration
}

// DefaultRetryDelay suits a platform that is slow or busy: a call takes some ten milliseconds otherwise.
const DefaultRetryDelay = 400 * time.Millisecond

// Schedule keeps the calls of one holder. Times are durations since an origin that never go back.
type Schedule struct {
	config   Config
	subjects map[Subject]*calls
	nextAt   time.Duration
}

// calls is what is known of the calls on one subject.
type calls struct {
	underWay  bool
	overtaken bool
	nextAt    time.Duration
}

// NewSchedule returns the schedule of a holder that begins.
func NewSchedule(config Config) *Schedule {
	if config.RetryDelay == 0 {
		config.RetryDelay = DefaultRetryDelay
	}
	return &Schedule{config: config, subjects: map[Subject]*calls{}}
}

// MayCall reports whether a call on a subject may be made now.
func (s *Schedule) MayCall(now time.Duration, on Subject) bool {
	of := s.of(on)
	return !of.underWay && !of.overtaken && now >= of.nextAt && now >= s.nextAt
}

// RecordStart notes that a call was made. Answered must follow.
func (s *Schedule) RecordStart(now time.Duration, on Subject) {
	s.of(on).underWay = true
	s.nextAt = now + s.config.Interval
}

// RecordOutcome notes what became of the call on a subject.
func (s *Schedule) RecordOutcome(now time.Duration, on Subject, outcome Outcome) {
	of := s.of(on)
	of.underWay = false
	switch outcome {
	case Accepted:
		of.nextAt = now
	case Superseded:
		of.overtaken = true
	default:
		of.nextAt = now + s.config.RetryDelay
	}
}

// Superseded reports whether a later holder was seen on a subject.
func (s *Schedule) Superseded(on Subject) bool { return s.of(on).overtaken }

func (s *Schedule) of(on Subject) *calls {
	if s.subjects[on] == nil {
		s.subjects[on] = &calls{}
	}
	return s.subjects[on]
}
