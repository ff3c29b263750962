package relay

import (
	"math"
	"sync"
)

const (
	// drawStep is the golden ratio's part: its multiples fill [0, 1) as evenly as any.
	drawStep = 0.6180339887498949
	// mostSplitRoutes bounds the routes whose draws are remembered.
	mostSplitRoutes = 4096
)

// splitDraws draws numbers in [0, 1) for the choice between a route's services. Each route has
// a sequence of its own that fills the range evenly, so that each service gets its weight's
// share of even a few dozen requests, where independent draws are off by tenths. It is safe for
// concurrent use.
type splitDraws struct {
	mutex sync.Mutex
	// last are the newest draws by the names of routes.
	last map[string]float64
	// first draws where a sequence begins, so that relays differ.
	first func() float64
}

func newSplitDraws(first func() float64) *splitDraws {
	return &splitDraws{last: map[string]float64{}, first: first}
}

// next returns the next number of a route.
func (d *splitDraws) next(route string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last, known := d.last[route]
	if !known {
		if len(d.last) >= mostSplitRoutes {
			clear(d.last) // routes come and go; their sequences may begin anew
		}
		last = d.first()
	}
	next := math.Mod(last+drawStep, 1)
	d.last[route] = next
	return next
}
