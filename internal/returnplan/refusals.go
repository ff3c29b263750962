package returnplan

import "time"

// maximumRefusals limits the remembered refusals; further ones are not remembered.
const maximumRefusals = 8192

// refusal is what the plan remembers of the last refusal of a signature.
type refusal struct {
	// firstAt is when the client was first refused; toldAt is when it was last told to return, promised or not.
	firstAt, toldAt time.Duration
}

// isEarly reports whether a client that asks now was told to return later.
func (r refusal) isEarly(now time.Duration) bool { return now < r.toldAt-earlyTolerance }

// refusals remember which clients were told when to return, so that a client gains nothing by an earlier return.
type refusals struct {
	bySignature map[uint64]refusal
	sweptAt     time.Duration
}

func newRefusals() *refusals { return &refusals{bySignature: map[uint64]refusal{}} }

// find returns the last refusal of the signature; known is false if there is none or if its client did not return in time.
func (r *refusals) find(now time.Duration, signature uint64) (last refusal, known bool) {
	last, known = r.bySignature[signature]
	if !known || now > last.toldAt+lateTolerance {
		return refusal{}, false
	}
	return last, true
}

// record remembers a refusal.
func (r *refusals) record(signature uint64, firstAt, toldAt time.Duration) {
	if signature == unknownSignature {
		return
	}
	if _, known := r.bySignature[signature]; known || len(r.bySignature) < maximumRefusals {
		r.bySignature[signature] = refusal{firstAt: firstAt, toldAt: toldAt}
	}
}

// sweep deletes the refusals whose clients did not return in time.
func (r *refusals) sweep(now time.Duration) {
	if now-r.sweptAt < sweepInterval {
		return
	}
	r.sweptAt = now
	for signature, each := range r.bySignature {
		if now > each.toldAt+lateTolerance {
			delete(r.bySignature, signature)
		}
	}
}
