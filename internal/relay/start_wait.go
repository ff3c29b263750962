package relay

import (
	"sync"
	"time"
)

// startupWait is how long a request that comes before the relay knows what it needs waits for that. After a
// loss of all processes, relays know it 0.1 s after their start in the median, and 0.6 s at the latest where
// controllers are slow (291 to 295 relays); a client that is told to come back is late by then.
const startupWait = 250 * time.Millisecond

// readySignal tells those who wait that the relay knows a configuration and a list. It never forgets them.
type readySignal struct {
	once  sync.Once
	ready chan struct{}
}

func newReadySignal() *readySignal { return &readySignal{ready: make(chan struct{})} }

// notify ends all waits.
func (s *readySignal) notify() { s.once.Do(func() { close(s.ready) }) }

// setView puts a view in force.
func (r *Relay) setView(next *view) {
	r.view.Store(next)
	if next.isReady() {
		r.viewReady.notify()
	}
}

// awaitReadyView waits until the relay knows what every request needs, and returns what it lacks after that.
func (r *Relay) awaitReadyView(request *request) missingState {
	if missing := r.view.Load().missing(); missing == "" {
		return ""
	}
	r.metrics.startupWaits.Inc()
	timer := time.NewTimer(r.startupWait)
	defer timer.Stop()
	select {
	case <-r.viewReady.ready:
	case <-timer.C:
	case <-request.canceller.done():
	}
	return r.view.Load().missing()
}
