package backpressure

import "time"

// leavingMemory is how long it is remembered of a back end that is not listed that it said it leaves. A list
// that lags may show it again for some seconds; those that leave end within seconds to minutes.
const leavingMemory = 10 * time.Minute

// Ledger holds the signals of back ends by the identities of their starts, so that they outlive a back end's
// absence from the list, and what else is known of it. It is not safe for concurrent use; the Signals are.
type Ledger struct{ signals map[string]*Signals }

// NewLedger returns the ledger that knows of no signals.
func NewLedger() *Ledger { return &Ledger{signals: map[string]*Signals{}} }

// Of returns the signals of one start of a back end, always the same ones for one identity.
func (l *Ledger) Of(identity string) *Signals {
	signals := l.signals[identity]
	if signals == nil {
		signals = &Signals{}
		l.signals[identity] = signals
	}
	return signals
}

// Len is how many starts of back ends the ledger holds.
func (l *Ledger) Len() int { return len(l.signals) }

// Keep forgets the back ends that are not listed, once nothing that they asked for holds any more.
func (l *Ledger) Keep(now time.Duration, isListed func(identity string) bool) {
	for identity, signals := range l.signals {
		if !isListed(identity) && signals.forgettable(now) {
			delete(l.signals, identity)
		}
	}
}
