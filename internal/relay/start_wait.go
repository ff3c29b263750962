package relay

import (
	"sync"
	"time"
)

// startWait is how long a request that comes before the relay knows what it needs waits for that. After a
// loss of all processes, relays know it 0.1 s after their start in the median, and 0.6 s at the latest where
// controllers are slow (291 to 295 relays); a client that is told to come back is late by then.
const startWait = 250 * time.Millisecond

// knownSignal tells those who wait that the relay knows a configuration and a list. It never forgets them.
type knownSignal struct {
	once  sync.Once
	known chan struct{}
}

func newKnownSignal() *knownSignal { return &knownSignal{known: make(chan struct{})} }

// raise ends all waits.
func (s *knownSignal) raise() { s.once.Do(func() { close(s.known) }) }

// setView puts a view in force.
func (r *Relay) setView(next *view) {
	r.view.Store(next)
	if next.ready() {
		r.known.raise()
	}
}

// awaitKnown waits until the relay knows what every request needs, and returns what it lacks after that.
func (r *Relay) awaitKnown(request *request) lack {
	if lacking := r.view.Load().lack(); lacking == "" {
		return ""
	}
	r.metrics.startWaits.Inc()
	timer := time.NewTimer(r.startWait)
	defer timer.Stop()
	select {
	case <-r.known.known:
	case <-timer.C:
	case <-request.canceller.gone():
	}
	return r.view.Load().lack()
}
