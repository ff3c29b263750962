package backpressure

import "time"

// leavingMemory is how long it is remembered of a back end that is not listed that it said it leaves. A list
// that lags may show it again for some seconds; those that leave end within seconds to minutes.
const leavingMemory = 10 * time.Minute

// Ledger holds the wishes of back ends by the identities of their starts, so that they outlive a back end's
// absence from the list, and what else is known of it. It is not safe for concurrent use; the Wishes are.
type Ledger struct{ wishes map[string]*Wishes }

// NewLedger returns the ledger that knows of no wishes.
func NewLedger() *Ledger { return &Ledger{wishes: map[string]*Wishes{}} }

// Of returns the wishes of one start of a back end, always the same ones for one identity.
func (l *Ledger) Of(identity string) *Wishes {
	wishes := l.wishes[identity]
	if wishes == nil {
		wishes = &Wishes{}
		l.wishes[identity] = wishes
	}
	return wishes
}

// Len is how many starts of back ends the ledger holds.
func (l *Ledger) Len() int { return len(l.wishes) }

// Keep forgets the back ends that are not listed, once nothing that they asked for holds any more.
func (l *Ledger) Keep(now time.Duration, isListed func(identity string) bool) {
	for identity, wishes := range l.wishes {
		if !isListed(identity) && wishes.forgettable(now) {
			delete(l.wishes, identity)
		}
	}
}
