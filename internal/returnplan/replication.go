package returnplan

import "time"

// maximumChanges limits the changes kept for the deputy: each promise that fits, made and redeemed once.
const maximumChanges = 2 * maximumPromises

// Changes returns the changes since the last call, oldest first.
func (p *Plan) Changes() []Change {
	changes := p.changes
	p.changes = nil
	return changes
}

// recordChange keeps a change for the deputy. Beyond the limit the oldest are dropped, since their promises
// expire first.
func (p *Plan) recordChange(change Change) {
	if len(p.changes) >= maximumChanges {
		p.changes = p.changes[1:]
	}
	p.changes = append(p.changes, change)
}

// ApplyChange applies a change that the owner of the slots has made; DueAt is by the clock of this process. A change
// that arrives twice counts once.
func (p *Plan) ApplyChange(now time.Duration, change Change) {
	p.Expire(now)
	if change.Redeemed {
		p.applyRedeemed(change.Promise)
		return
	}
	p.applyPromise(now, change.Promise)
}

func (p *Plan) applyPromise(now time.Duration, promise Promise) {
	isCurrent := promise.DueAt >= now-lateTolerance && promise.DueAt <= now+horizon+p.span
	if !isCurrent || promise.Signature == unknownSignature || p.isKnown(promise) || !p.promises.canAdd(promise.Signature) {
		return
	}
	promise.Level = boundedLevel(promise.Level)
	account := p.tenants.account(promise.Level, promise.Tenant)
	p.promises.add(&entry{Promise: promise, rank: rankOf(promise.Level, 0), account: account})
}

// isKnown reports whether the promise is in the table. Promises for one signature are at least a span apart, and the
// times of a change that arrives twice differ by less than half of that.
func (p *Plan) isKnown(promise Promise) bool {
	for _, each := range p.promises.bySignature[promise.Signature] {
		if (each.DueAt - promise.DueAt).Abs() < p.span/2 {
			return true
		}
	}
	return false
}

// applyRedeemed removes the earliest promise for the signature unless it is due later than the redeemed one.
func (p *Plan) applyRedeemed(promise Promise) {
	own := p.promises.bySignature[promise.Signature]
	if len(own) > 0 && own[0].DueAt < promise.DueAt+p.span/2 {
		p.promises.remove(own[0])
	}
}
