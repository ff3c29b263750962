package backpressure

import (
	"sync/atomic"
	"time"
)

// Signals are what one start of a back end has asked of this process. Times are those of the caller's steady
// clock, which counts suspensions. Signals are safe for concurrent use.
type Signals struct {
	// restUntil and leavingSince are nanoseconds; 0 is never.
	restUntil, leavingSince atomic.Int64
}

// AskRest notes that the back end wants nothing for a while. A shorter rest that is asked for later does not
// shorten one that was asked for before.
func (w *Signals) AskRest(now, rest time.Duration) {
	until := int64(now + rest)
	for {
		held := w.restUntil.Load()
		if until <= held || w.restUntil.CompareAndSwap(held, until) {
			return
		}
	}
}

// Rest is how much longer the back end wants nothing; 0 when it can be sent requests.
func (w *Signals) Rest(now time.Duration) time.Duration {
	return max(time.Duration(w.restUntil.Load())-now, 0)
}

// SayLeaving notes that the back end leaves, which is for good. It reports whether that is news.
func (w *Signals) SayLeaving(now time.Duration) bool {
	return w.leavingSince.CompareAndSwap(0, max(int64(now), 1))
}

// Leaving reports whether the back end has said that it leaves.
func (w *Signals) Leaving() bool { return w.leavingSince.Load() != 0 }

// forgettable reports whether nothing depends on these signals any more, of a back end that is not listed.
func (w *Signals) forgettable(now time.Duration) bool {
	leaving := time.Duration(w.leavingSince.Load())
	return w.Rest(now) == 0 && (leaving == 0 || now-leaving > leavingMemory)
}
