package backpressure

import "time"

// leavingRetention is how long the leaving state of a back end is stored after it disappeared from the list. A stale list
// may contain it again for some seconds; back ends that leave stop within seconds to minutes.
const leavingRetention = 10 * time.Minute

// Registry stores the signals of back ends by the identity of their incarnation, so that the signals survive a temporary
// absence of the back end from the list. It is not safe for concurrent use; the Signals are.
type Registry struct{ signals map[string]*Signals }

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry { return &Registry{signals: map[string]*Signals{}} }

// SignalsOf returns the signals of one incarnation of a back end. It always returns the same Signals for an identity.
func (r *Registry) SignalsOf(identity string) *Signals {
	signals := r.signals[identity]
	if signals == nil {
		signals = &Signals{}
		r.signals[identity] = signals
	}
	return signals
}

// Len returns the number of stored incarnations.
func (r *Registry) Len() int { return len(r.signals) }

// RemoveUnlisted deletes the back ends that are not listed and none of whose signals is still valid.
func (r *Registry) RemoveUnlisted(now time.Duration, isListed func(identity string) bool) {
	for identity, signals := range r.signals {
		if !isListed(identity) && signals.isStale(now) {
			delete(r.signals, identity)
		}
	}
}
