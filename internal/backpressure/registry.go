package backpressure

import "time"

// leavingRetention is how long it is remembered of a back end that is not listed that it said it leaves. A list
// that lags may show it again for some seconds; those that leave end within seconds to minutes.
const leavingRetention = 10 * time.Minute

// Registry holds the signals of back ends by the identities of their starts, so that they outlive a back end's
// absence from the list, and what else is known of it. It is not safe for concurrent use; the Signals are.
type Registry struct{ signals map[string]*Signals }

// NewRegistry returns the ledger that knows of no signals.
func NewRegistry() *Registry { return &Registry{signals: map[string]*Signals{}} }

// SignalsOf returns the signals of one start of a back end, always the same ones for one identity.
func (l *Registry) SignalsOf(identity string) *Signals {
	signals := l.signals[identity]
	if signals == nil {
		signals = &Signals{}
		l.signals[identity] = signals
	}
	return signals
}

// Len is how many starts of back ends the ledger holds.
func (l *Registry) Len() int { return len(l.signals) }

// RemoveUnlisted forgets the back ends that are not listed, once nothing that they asked for holds any more.
func (l *Registry) RemoveUnlisted(now time.Duration, isListed func(identity string) bool) {
	for identity, signals := range l.signals {
		if !isListed(identity) && signals.isStale(now) {
			delete(l.signals, identity)
		}
	}
}
