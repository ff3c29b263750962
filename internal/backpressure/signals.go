package backpressure

import (
	"sync/atomic"
	"time"
)

// Signals are what one start of a back end has asked of this process. Times are those of the caller's steady
// clock, which counts suspensions. Signals are safe for concurrent use.
type Signals struct {
	// backoffUntil and leavingSince are nanoseconds; 0 is never.
	backoffUntil, leavingSince atomic.Int64
	// limit is what is known of its limit; nil is nothing.
	limit atomic.Pointer[limitState]
}

// ExtendBackoff notes that the back end wants nothing for a while. A shorter rest that is asked for later does not
// shorten one that was asked for before.
func (s *Signals) ExtendBackoff(now, backoff time.Duration) {
	until := int64(now + backoff)
	for {
		current := s.backoffUntil.Load()
		if until <= current || s.backoffUntil.CompareAndSwap(current, until) {
			return
		}
	}
}

// RemainingBackoff is how much longer the back end wants nothing; 0 when it can be sent requests.
func (s *Signals) RemainingBackoff(now time.Duration) time.Duration {
	return max(time.Duration(s.backoffUntil.Load())-now, 0)
}

// MarkLeaving notes that the back end leaves, which is for good. It reports whether that is news.
func (s *Signals) MarkLeaving(now time.Duration) bool {
	return s.leavingSince.CompareAndSwap(0, max(int64(now), 1))
}

// IsLeaving reports whether the back end has said that it leaves.
func (s *Signals) IsLeaving() bool { return s.leavingSince.Load() != 0 }

// isStale reports whether nothing depends on these signals any more, of a back end that is not listed.
func (s *Signals) isStale(now time.Duration) bool {
	leaving := time.Duration(s.leavingSince.Load())
	return s.RemainingBackoff(now) == 0 && (leaving == 0 || now-leaving > leavingRetention) && s.isLimitStale(now)
}
