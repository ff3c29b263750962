package returnplan

import "time"

// search looks for the first span with a free slot for a caller.
type search struct {
	now, span time.Duration
	capacity  Room
	// notBefore is the earliest start of the span.
	notBefore time.Duration
	// rank is the caller's rank, and urgentPerSecond the demand of callers that come before it. Slots for this
	// demand are reserved.
	rank            rank
	urgentPerSecond float64
	// reservedPerSecond is the rate of further slots to reserve.
	reservedPerSecond float64
	// entries are the promises that are due from the current span on, sorted by time.
	entries []*entry
}

// firstSpan returns the start of the first span with a free slot; found is false if there is none within the horizon.
// Requests that exceed the slots of a span, the backlog first, are carried over to the next one.
func (s *search) firstSpan() (start time.Duration, found bool) {
	ahead := s.capacity.Backlog
	current := s.now.Truncate(s.span)
	for start = current; start < s.now+horizon; start += s.span {
		end := start + s.span
		promised, urgent := s.takePromised(end)
		available := countBetween(s.capacity.PerSecond, max(start, s.now), end)
		load := ahead + promised
		if start > current && start >= s.notBefore && load+s.reserved(start, end, urgent) < available {
			return start, true
		}
		ahead = max(load-available, 0)
	}
	return 0, false
}

// takePromised counts and drops the entries that are due before this time; urgent are those of callers that come before
// this one.
func (s *search) takePromised(end time.Duration) (promised, urgent int) {
	for promised < len(s.entries) && s.entries[promised].DueAt < end {
		if s.entries[promised].rank < s.rank {
			urgent++
		}
		promised++
	}
	s.entries = s.entries[promised:]
	return promised, urgent
}

// reserved returns how many slots of a span are reserved for other callers. Slots promised to callers that come before
// this one are already counted in the load and are not reserved again.
func (s *search) reserved(start, end time.Duration, urgent int) int {
	expected := countBetween(s.urgentPerSecond, start, end)
	return max(expected-urgent, 0) + countBetween(s.reservedPerSecond, start, end)
}
