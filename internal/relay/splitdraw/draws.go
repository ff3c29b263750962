// Package splitdraw selects a service for each request on a route that is split between services, so that each service
// gets its share even of a small number of requests.
package splitdraw

import (
	"math"
	"sync"
)

const (
	// drawStep is the fractional part of the golden ratio: its multiples modulo 1 fill [0, 1) evenly.
	drawStep = 0.6180339887498949
	// maxRoutes bounds the routes whose sequences are stored.
	maxRoutes = 4096
)

// Draws generates numbers in [0, 1) for the choice between a route's services. Each route has its own low-discrepancy
// sequence, so that each service gets its weight's share of even a few dozen requests; with independent random draws, the
// shares would be off by tenths. It is safe for concurrent use.
type Draws struct {
	mutex sync.Mutex
	// last maps routes' names to the last number of their sequences.
	last map[string]float64
	// first returns the start of a new sequence; it is random, so that relays differ.
	first func() float64
}

// New returns Draws whose sequences start at the numbers that first returns.
func New(first func() float64) *Draws {
	return &Draws{last: map[string]float64{}, first: first}
}

// Next returns the next number of a route's sequence.
func (d *Draws) Next(route string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last, found := d.last[route]
	if !found {
		if len(d.last) >= maxRoutes {
			clear(d.last) // removes routes that no longer exist; the sequences of the others restart
		}
		last = d.first()
	}
	next := math.Mod(last+drawStep, 1)
	d.last[route] = next
	return next
}
