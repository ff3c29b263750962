package relay

import (
	"math/rand/v2"
	"sync"
)

// draw returns a random number in [0, 1).
func (r *Relay) draw() float64 { return r.random.float64() }

// lockedRandom is a random source for concurrent use.
type lockedRandom struct {
	mutex  sync.Mutex
	source *rand.Rand
}

func (l *lockedRandom) float64() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.source.Float64()
}
