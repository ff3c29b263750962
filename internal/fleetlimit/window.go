package fleetlimit

import "time"

const (
	// windowSpan is the length of the window over which back ends measure their request rate.
	windowSpan = 4 * time.Second
	// slotSpan is the resolution of the window; the oldest slot counts in full.
	slotSpan    = 250 * time.Millisecond
	windowSlots = int(windowSpan/slotSpan) + 1
)

// window counts the permits of the last windowSpan. After a limit is lowered, it prevents the permits of the new limit
// from adding to those that were granted under the old one.
type window struct {
	counts [windowSlots]int
	newest int64
}

// advance drops the slots older than the window.
func (w *window) advance(now time.Duration) {
	slot := int64(now / slotSpan)
	for passed := min(slot-w.newest, int64(windowSlots)); passed > 0; passed-- {
		w.counts[(slot-passed+1)%int64(windowSlots)] = 0
	}
	w.newest = max(w.newest, slot)
}

// add counts one permit. The window must have been advanced to now.
func (w *window) add() { w.counts[w.newest%int64(windowSlots)]++ }

// sum returns the number of permits in the window.
func (w *window) sum() int {
	sum := 0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}

// waitForSum returns how long it takes until at most limit of the current permits are left in the window.
func (w *window) waitForSum(limit float64) time.Duration {
	left := w.sum()
	for passed := range windowSlots {
		if float64(left) <= limit {
			return time.Duration(passed) * slotSpan
		}
		left -= w.counts[(w.newest+1+int64(passed))%int64(windowSlots)]
	}
	return windowSpan
}
