package returnplan

import "time"

// maximumRefusals limits the remembered refusals; beyond it, new signatures are not remembered.
const maximumRefusals = 8192

// refusal is what the plan remembers of the last refusal of a signature.
type refusal struct {
	// firstAt is when the client was first refused; returnAt is the time given at its last refusal, promised or not.
	firstAt, returnAt time.Duration
}

// isEarly reports whether a client that requests a slot now was to return later.
func (r refusal) isEarly(now time.Duration) bool { return now < r.returnAt-earlyTolerance }

// refusals remember the return times given to clients, so that a client gains nothing by an earlier return.
type refusals struct {
	bySignature map[uint64]refusal
	sweptAt     time.Duration
}

func newRefusals() *refusals { return &refusals{bySignature: map[uint64]refusal{}} }

// find returns the last refusal of the signature; known is false if there is none or if its client did not
// return in time.
func (r *refusals) find(now time.Duration, signature uint64) (last refusal, known bool) {
	last, known = r.bySignature[signature]
	if !known || now > last.returnAt+lateTolerance {
		return refusal{}, false
	}
	return last, true
}

// record remembers a refusal.
func (r *refusals) record(signature uint64, firstAt, returnAt time.Duration) {
	if signature == unknownSignature {
		return
	}
	if _, known := r.bySignature[signature]; known || len(r.bySignature) < maximumRefusals {
		r.bySignature[signature] = refusal{firstAt: firstAt, returnAt: returnAt}
	}
}

// sweep deletes the refusals whose clients did not return in time.
func (r *refusals) sweep(now time.Duration) {
	if now-r.sweptAt < sweepInterval {
		return
	}
	r.sweptAt = now
	for signature, each := range r.bySignature {
		if now > each.returnAt+lateTolerance {
			delete(r.bySignature, signature)
		}
	}
}
