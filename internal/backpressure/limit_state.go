package backpressure

import "time"

// limitState is what a process knows of the limit of one start of a back end. It is never changed.
type limitState struct {
	limit Limit
	// learnedAt is when it became known; own tells that the back end has named it to this process since another process told
	// anything of it.
	learnedAt   time.Duration
	fromBackEnd bool
	// waitUntil is until when permits are not asked for.
	waitUntil time.Duration
}

// limitRetention is how long a limit is remembered of a back end that is not listed.
const limitRetention = 10 * time.Minute

// RecordBackEndLimit takes the limit in an answer of the back end to a request that was sent at a time, the zero value for
// none. An answer to a request that was sent before the present limit was known may be older than it: it is only
// followed to a smaller one. It reports whether the limit has changed.
func (s *Signals) RecordBackEndLimit(now, sentAt time.Duration, limit Limit) (changed bool) {
	if !limit.IsSet && s.limit.Load() == nil {
		return false // the usual case
	}
	return s.updateLimit(func(former limitState) limitState {
		if former.limit.isBelow(limit) && sentAt < former.learnedAt {
			return former
		}
		return former.with(now, limit, true)
	})
}

// RecordPeerLimit takes the limit as another process knows it. It reports whether the limit has changed.
func (s *Signals) RecordPeerLimit(now time.Duration, limit Limit) (changed bool) {
	return s.updateLimit(func(former limitState) limitState { return former.with(now, limit, false) })
}

// DelayPermits notes that no permit is to be had until a time, as long as the limit stays the same.
func (s *Signals) DelayPermits(until time.Duration) {
	s.updateLimit(func(former limitState) limitState {
		if former.limit.IsSet {
			former.waitUntil = max(former.waitUntil, until)
		}
		return former
	})
}

// updateLimit replaces what is known of the limit. It reports whether the limit itself has changed.
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

// with is the state once a limit is known at a time. A wait for permits ends with the limit that it was for.
func (s limitState) with(now time.Duration, limit Limit, fromBackEnd bool) limitState {
	s.fromBackEnd = fromBackEnd
	if s.limit != limit {
		s.limit, s.learnedAt, s.waitUntil = limit, now, 0
	}
	return s
}

// PermitWait is how much longer no permit is to be had; 0 when one can be asked for, or none is needed.
func (s *Signals) PermitWait(now time.Duration) time.Duration {
	return max(stateOf(s.limit.Load()).waitUntil-now, 0)
}

// Limit is the limit as it is known, the zero value for none; own tells that the back end has named it to this process
// since another one told anything of it.
func (s *Signals) Limit() (limit Limit, fromBackEnd bool) {
	known := stateOf(s.limit.Load())
	return known.limit, known.fromBackEnd
}

// LimitAge is how long the present limit, or that there is none any more, has been known; false when nothing was
// ever heard of one.
func (s *Signals) LimitAge(now time.Duration) (time.Duration, bool) {
	known := s.limit.Load()
	if known == nil {
		return 0, false
	}
	return now - known.learnedAt, true
}

// isLimitStale reports whether nothing depends on the limit of a back end that is not listed.
func (s *Signals) isLimitStale(now time.Duration) bool {
	known := stateOf(s.limit.Load())
	return !known.limit.IsSet || now-known.learnedAt > limitRetention
}

// stateOf returns the state, the zero value where nothing is known.
func stateOf(state *limitState) limitState {
	if state == nil {
		return limitState{}
	}
	return *state
}
