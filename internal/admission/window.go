package admission

import "time"

const (
	// windowShrinkFactor is the factor by which the window shrinks at each decrease.
	windowShrinkFactor = 0.85
	// minimumShrinkInterval is the minimum time between two decreases. With longer requests the
	// round trip applies instead, since a decrease takes effect only after one.
	minimumShrinkInterval = 500 * time.Millisecond
	// windowGrowthShare is the minimum growth per full window of requests that completed without
	// queueing, as a fraction of the window.
	windowGrowthShare = 0.1
	// allowedWaitShare is the fraction of a request's own duration that it may queue at back ends
	// before the window shrinks, if that is more than Config.WaitTarget.
	allowedWaitShare = 0.3
	// waitSmoothing is the weight of one request in the mean wait. It is small because the work
	// of requests varies and a single outlier means little.
	waitSmoothing = 0.1
	// missedDeadlineWait is the sample that a request with a missed deadline adds to the mean
	// wait, regardless of its actual wait. Waits are relative to the allowed wait.
	missedDeadlineWait = 2
	// roundTripSmoothing is the weight of one request in the mean round trip.
	roundTripSmoothing = 0.05
)

// window limits the cost in flight. Until the first decrease it doubles with each full window of
// requests (slow start). After that it grows by a tenth, or by one request, per window. It shrinks
// by a constant factor, at most once per round trip, when requests queued too long or back ends
// refused them.
type window struct {
	size             float64
	minimum          float64
	target           time.Duration
	shrunkAt         time.Duration
	hasShrunk        bool
	costInFlight     float64
	requestsInFlight int
	roundTrip        time.Duration
	// meanWait is the running mean of waits, each relative to its allowed wait.
	meanWait float64
}

// admits reports whether a request of this cost may start.
func (w *window) admits(cost float64) bool {
	return w.requestsInFlight == 0 || w.costInFlight+cost <= w.size
}

func (w *window) start(cost float64) {
	w.costInFlight += cost
	w.requestsInFlight++
}

// finish updates the window with the way in which a request in flight ended.
func (w *window) finish(now time.Duration, ended *entry, result Result) {
	full := w.costInFlight+ended.cost > w.size
	w.costInFlight = max(w.costInFlight-ended.cost, 0)
	w.requestsInFlight--
	if w.requestsInFlight == 0 {
		w.costInFlight = 0
	}
	w.measureRoundTrip(now - ended.startedAt)
	switch {
	case result.DeadlineMissed:
		w.measureWait(missedDeadlineWait)
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

// allowedWait returns how long a request may queue at back ends. A mean wait beyond it shrinks the window.
func (w *window) allowedWait(ended *entry) time.Duration {
	return max(w.target, time.Duration(allowedWaitShare*float64(ended.MinimumTime)))
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
	if !w.hasShrunk {
		w.size += cost
		return
	}
	w.size += max(cost*cost/w.size, windowGrowthShare*cost)
}

func (w *window) shrink(now time.Duration) {
	if w.hasShrunk && now < w.shrunkAt+max(minimumShrinkInterval, w.roundTrip) {
		return
	}
	w.hasShrunk, w.shrunkAt = true, now
	w.size = max(w.size*windowShrinkFactor, w.minimum)
}
