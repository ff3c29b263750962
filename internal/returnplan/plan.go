package returnplan

import "time"

// Plan holds the promises for one service.
type Plan struct {
	span time.Duration
}

// New returns an empty Plan with spans of this length.
func New(span time.Duration) *Plan { return &Plan{span: span} }

// Promise returns when a refused client is to return. promised is true if a slot is set aside for it then, at latest at
// the time latest; otherwise at is the expected time at which there is room. draw is a random number in [0, 1) that
// spreads returns within a span.
func (p *Plan) Promise(now time.Duration, caller Caller, room Room, latest time.Duration, draw float64) (at time.Duration, promised bool) {
	return latest, false
}

// Redeem redeems the earliest promise for the signature if it is due now. If due is false, promise is the earliest
// promise that is due later; the zero Promise if there is none.
func (p *Plan) Redeem(now time.Duration, signature uint64) (promise Promise, due bool) {
	return Promise{}, false
}

// DueUntil returns the number of promises that may be redeemed until then: the slots to keep free for returns.
func (p *Plan) DueUntil(now, until time.Duration) int { return 0 }

// Changes returns the changes since the last call, oldest first.
func (p *Plan) Changes() []Change { return nil }

// ApplyChange applies a change that the owner of the slots has made; DueAt is by the clock of this process.
func (p *Plan) ApplyChange(now time.Duration, change Change) {}

// Expire drops the promises that were not redeemed in time. The other methods do this themselves.
func (p *Plan) Expire(now time.Duration) {}
