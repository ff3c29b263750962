package admission

import "time"

const (
	windowDecrease = 0.85
	// windowPatience is the least time between two decreases. It is longer when
	// requests take longer: the effect of the first one shows after a round trip.
	windowPatience = 500 * time.Millisecond
	// windowGrowth is the least growth for each window of requests that came back
	// without waiting, as a share of the window.
	windowGrowth = 0.1
	// waitShare is the share of a request's own time that it may wait at back ends
	// before the window shrinks, when that is more than the target.
	waitShare = 0.3
	// waitSmoothing is the weight of one request in the mean wait: one outlier
	// tells little where the work of requests varies.
	waitSmoothing = 0.1
	// missedWait is what a request that missed its deadline counts for in the mean wait at
	// least, whatever it waited for.
	missedWait = 2
	// roundTripSmoothing is the weight of one request in the mean round trip.
	roundTripSmoothing = 0.05
)

// window bounds the cost in flight. Until requests first wait too long it doubles
// with each window of them; then it grows by a tenth, or by one request, with each,
// and shrinks by a factor, once a round trip, when they waited too long or were
// refused.
type window struct {
	size       float64
	minimum    float64
	target     time.Duration
	decreased  time.Duration
	everShrunk bool
	used       float64 // cost in flight
	count      int     // requests in flight
	roundTrip  time.Duration
	// meanWait is the running mean of waits, each as a share of what it may be.
	meanWait float64
}

// admits reports whether one more request of this cost may start.
func (w *window) admits(cost float64) bool {
	return w.count == 0 || w.used+cost <= w.size
}

func (w *window) start(cost float64) {
	w.used += cost
	w.count++
}

// finish takes in how a started request ended.
func (w *window) finish(now time.Duration, ended *entry, result Result) {
	full := w.used+ended.cost > w.size
	w.used = max(w.used-ended.cost, 0)
	w.count--
	if w.count == 0 {
		w.used = 0
	}
	w.measureRoundTrip(now - ended.startedAt)
	switch {
	case result.DeadlineMissed:
		w.measureWait(missedWait)
	case ended.firstToken > 0:
		w.measureWait(float64(ended.wait) / float64(w.allowedWait(ended)))
	case !result.Failed:
		w.measureWait(float64(result.Wait) / float64(w.allowedWait(ended)))
	}
	if result.Overloaded || w.meanWait > 1 {
		w.shrink(now)
		return
	}
	if full && !result.Failed {
		w.grow(ended.cost)
	}
}

// allowedWait is how long a request may have waited at back ends.
func (w *window) allowedWait(ended *entry) time.Duration {
	return max(w.target, time.Duration(waitShare*float64(ended.MinimumTime)))
}

func (w *window) measureRoundTrip(took time.Duration) {
	if w.roundTrip == 0 {
		w.roundTrip = took
	}
	w.roundTrip += time.Duration(roundTripSmoothing * float64(took-w.roundTrip))
}

func (w *window) measureWait(share float64) {
	w.meanWait += waitSmoothing * (share - w.meanWait)
}

func (w *window) grow(cost float64) {
	if !w.everShrunk {
		w.size += cost
		return
	}
	w.size += max(cost*cost/w.size, windowGrowth*cost)
}

func (w *window) shrink(now time.Duration) {
	if w.everShrunk && now < w.decreased+max(windowPatience, w.roundTrip) {
		return
	}
	w.everShrunk, w.decreased = true, now
	w.size = max(w.size*windowDecrease, w.minimum)
}
