package backpressure

import (
	"sync/atomic"
	"time"
)

// Signals are what one incarnation of a back end has requested of this process. Times are those of the caller's steady
// clock, which also counts the time while the machine is suspended. Signals are safe for concurrent use.
type Signals struct {
	// backoffUntil and leavingSince are in nanoseconds; 0 is never.
	backoffUntil, leavingSince atomic.Int64
	// limit is the known limit state; nil if nothing is known.
	limit atomic.Pointer[limitState]
}

// ExtendBackoff records that the back end must not receive requests for the given duration. It never shortens an earlier
// backoff.
func (s *Signals) ExtendBackoff(now, backoff time.Duration) {
	until := int64(now + backoff)
	for {
		current := s.backoffUntil.Load()
		if until <= current || s.backoffUntil.CompareAndSwap(current, until) {
			return
		}
	}
}

// RemainingBackoff returns for how long the back end must still not receive requests; 0 if it may receive them now.
func (s *Signals) RemainingBackoff(now time.Duration) time.Duration {
	return max(time.Duration(s.backoffUntil.Load())-now, 0)
}

// MarkLeaving records that the back end is leaving, which is permanent. It reports whether this is the first call.
func (s *Signals) MarkLeaving(now time.Duration) bool {
	return s.leavingSince.CompareAndSwap(0, max(int64(now), 1))
}

// IsLeaving reports whether the back end has announced that it is leaving.
func (s *Signals) IsLeaving() bool { return s.leavingSince.Load() != 0 }

// isStale reports whether the signals of an unlisted back end can be deleted.
func (s *Signals) isStale(now time.Duration) bool {
	leaving := time.Duration(s.leavingSince.Load())
	return s.RemainingBackoff(now) == 0 && (leaving == 0 || now-leaving > leavingRetention) && s.isLimitStale(now)
}
