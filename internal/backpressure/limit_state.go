package backpressure

import "time"

// limitState is what a process knows about the limit of one incarnation of a back end. It is immutable.
type limitState struct {
	limit Limit
	// learnedAt is when the limit became known. fromBackEnd is true if the back end itself named it to this process and
	// that no other process has reported a limit since.
	learnedAt   time.Duration
	fromBackEnd bool
	// waitUntil is the time before which this process requests no permits for the back end.
	waitUntil time.Duration
}

// limitRetention is how long the limit of an unlisted back end is stored.
const limitRetention = 10 * time.Minute

// RecordBackEndLimit records the limit in a response of the back end, the zero value for none; sentAt is when the request
// was sent. A response to a request from before the current limit became known may be older than that limit, so it can only
// lower it. The result reports whether the limit changed.
func (s *Signals) RecordBackEndLimit(now, sentAt time.Duration, limit Limit) (changed bool) {
	if !limit.IsSet && s.limit.Load() == nil {
		return false // the common case
	}
	return s.updateLimit(func(former limitState) limitState {
		if former.limit.isBelow(limit) && sentAt < former.learnedAt {
			return former
		}
		return former.with(now, limit, true)
	})
}

// RecordPeerLimit records the limit that another process has reported. The result reports whether the limit changed.
func (s *Signals) RecordPeerLimit(now time.Duration, limit Limit) (changed bool) {
	return s.updateLimit(func(former limitState) limitState { return former.with(now, limit, false) })
}

// DelayPermits records that no permit is available before the given time, as long as the limit stays the same.
func (s *Signals) DelayPermits(until time.Duration) {
	s.updateLimit(func(former limitState) limitState {
		if former.limit.IsSet {
			former.waitUntil = max(former.waitUntil, until)
		}
		return former
	})
}

// updateLimit replaces the limit state atomically. It reports whether the limit itself changed.
func (s *Signals) updateLimit(change func(former limitState) limitState) (changed bool) {
	for {
		current := s.limit.Load()
		former := stateOf(current)
		next := change(former)
		if next == former || s.limit.CompareAndSwap(current, &next) {
			return next.limit != former.limit
		}
	}
}

// with returns the state after a limit became known. A changed limit ends the wait for permits.
func (s limitState) with(now time.Duration, limit Limit, fromBackEnd bool) limitState {
	s.fromBackEnd = fromBackEnd
	if s.limit != limit {
		s.limit, s.learnedAt, s.waitUntil = limit, now, 0
	}
	return s
}

// PermitWait returns for how long no permit may be requested; 0 if one may be requested now, or if none is needed.
func (s *Signals) PermitWait(now time.Duration) time.Duration {
	return max(stateOf(s.limit.Load()).waitUntil-now, 0)
}

// Limit returns the known limit, the zero value for none. fromBackEnd is true if the back end itself named it to this
// process and that no other process has reported a limit since.
func (s *Signals) Limit() (limit Limit, fromBackEnd bool) {
	state := stateOf(s.limit.Load())
	return state.limit, state.fromBackEnd
}

// LimitAge returns how long the current limit, or the absence of one, has been known; false if nothing is known about a
// limit.
func (s *Signals) LimitAge(now time.Duration) (time.Duration, bool) {
	state := s.limit.Load()
	if state == nil {
		return 0, false
	}
	return now - state.learnedAt, true
}

// isLimitStale reports whether the limit of an unlisted back end can be deleted.
func (s *Signals) isLimitStale(now time.Duration) bool {
	state := stateOf(s.limit.Load())
	return !state.limit.IsSet || now-state.learnedAt > limitRetention
}

// stateOf returns the state, or the zero value if nothing is known.
func stateOf(state *limitState) limitState {
	if state == nil {
		return limitState{}
	}
	return *state
}
