package admission

import "time"

const (
	windowDecrease = 0.85
	// windowPatience is the least time between two decreases: the time until the
	// effect of the first one shows.
	windowPatience = 500 * time.Millisecond
)

// window bounds the cost in flight. It grows by about one request for each window
// of requests that came back without waiting, and shrinks by a factor when they
// waited too long or were refused.
type window struct {
	size       float64
	minimum    float64
	target     time.Duration
	decreased  time.Duration
	everShrunk bool
	used       float64 // cost in flight
	count      int     // requests in flight
}

// admits reports whether one more request of this cost may start.
func (w *window) admits(cost float64) bool {
	return w.count == 0 || w.used+cost <= w.size
}

func (w *window) start(cost float64) {
	w.used += cost
	w.count++
}

func (w *window) finish(now time.Duration, cost float64, result Result) {
	full := w.used+cost > w.size
	w.used = max(w.used-cost, 0)
	w.count--
	if w.count == 0 {
		w.used = 0
	}
	if result.Overloaded || result.Wait > w.target {
		w.shrink(now)
		return
	}
	if full && !result.Failed {
		w.size += cost * cost / w.size
	}
}

func (w *window) shrink(now time.Duration) {
	if w.everShrunk && now < w.decreased+windowPatience {
		return
	}
	w.everShrunk, w.decreased = true, now
	w.size = max(w.size*windowDecrease, w.minimum)
}
