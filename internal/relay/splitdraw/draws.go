// Package splitdraw draws the service of a route that several services share, so that each gets its share of even a few
// requests.
package splitdraw

import (
	"math"
	"sync"
)

const (
	// drawStep is the golden ratio's part: its multiples fill [0, 1) as evenly as any.
	drawStep = 0.6180339887498949
	// mostRoutes bounds the routes whose draws are remembered.
	mostRoutes = 4096
)

// Draws draws numbers in [0, 1) for the choice between a route's services. Each route has
// a sequence of its own that fills the range evenly, so that each service gets its weight's
// share of even a few dozen requests, where independent draws are off by tenths. It is safe for
// concurrent use.
type Draws struct {
	mutex sync.Mutex
	// last are the newest draws by the names of routes.
	last map[string]float64
	// first draws where a sequence begins, so that relays differ.
	first func() float64
}

// New returns draws whose sequences begin where first draws.
func New(first func() float64) *Draws {
	return &Draws{last: map[string]float64{}, first: first}
}

// Next returns the next number of a route.
func (d *Draws) Next(route string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last, known := d.last[route]
	if !known {
		if len(d.last) >= mostRoutes {
			clear(d.last) // routes come and go; their sequences may begin anew
		}
		last = d.first()
	}
	next := math.Mod(last+drawStep, 1)
	d.last[route] = next
	return next
}
