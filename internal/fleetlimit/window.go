package fleetlimit

import "time"

const (
	// windowSpan is the span over which back ends look at what they get.
	windowSpan = 4 * time.Second
	// slotSpan is how finely it is divided; the oldest slot counts whole.
	slotSpan    = 250 * time.Millisecond
	windowSlots = int(windowSpan/slotSpan) + 1
)

// window counts the permits of the last windowSpan. It keeps a limit that has just become smaller from being met on top
// of what the larger one allowed a moment before.
type window struct {
	counts [windowSlots]int
	newest int64
}

// advance drops what is older than the span.
func (w *window) advance(now time.Duration) {
	slot := int64(now / slotSpan)
	for passed := min(slot-w.newest, int64(windowSlots)); passed > 0; passed-- {
		w.counts[(slot-passed+1)%int64(windowSlots)] = 0
	}
	w.newest = max(w.newest, slot)
}

// add counts one permit. The window must be advanced.
func (w *window) add() { w.counts[w.newest%int64(windowSlots)]++ }

// sum is the number of permits in the window.
func (w *window) sum() int {
	sum := 0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}

// untilSum is how long it takes until at most so many permits of the present ones are left in the window.
func (w *window) untilSum(most float64) time.Duration {
	left := w.sum()
	for passed := range windowSlots {
		if float64(left) <= most {
			return time.Duration(passed) * slotSpan
		}
		left -= w.counts[(w.newest+1+int64(passed))%int64(windowSlots)]
	}
	return windowSpan
}
