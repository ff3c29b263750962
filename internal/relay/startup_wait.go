package relay

import (
	"sync"
	"time"
)

// startupWait is how long a request waits when it arrives before the relay has a configuration and a list of back ends.
// After a loss of all processes, relays receive both 0.1 s after their start in the median, and 0.6 s at the latest where
// controllers are slow (291 to 295 relays); a client that was refused and retries later would miss its target.
const startupWait = 250 * time.Millisecond

// readySignal signals that the relay has a configuration and a list of back ends. It is never reset.
type readySignal struct {
	once  sync.Once
	ready chan struct{}
}

func newReadySignal() *readySignal { return &readySignal{ready: make(chan struct{})} }

// notify ends all waits, present and future ones.
func (s *readySignal) notify() { s.once.Do(func() { close(s.ready) }) }

// setView replaces the view.
func (r *Relay) setView(next *view) {
	r.view.Store(next)
	if r.sharesSlots {
		r.slots.Refresh()
	}
	if next.isReady() {
		r.viewReady.notify()
	}
}

// awaitReadyView waits up to startupWait until the relay can serve requests, and returns the state that is still missing. A
// forwarded request does not wait, since the relay that has forwarded it can ask another one.
func (r *Relay) awaitReadyView(request *request) missingState {
	if missing := r.view.Load().missing(); missing == "" || request.forwarded != nil {
		return missing
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
