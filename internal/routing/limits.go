package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
)

// limitHash names one incarnation of a back end where limits are counted, the same at every gateway.
func limitHash(backEnd BackEnd) uint64 { return hashName(identityOf(backEnd)) }

// observeLimit takes the limit in an answer of a back end to what was sent at a time.
func (r *Router) observeLimit(now, sentAt time.Duration, candidate *Candidate, limit backpressure.Limit) {
	if candidate.signals.HearLimit(now, sentAt, limit) {
		r.limits[limitHash(candidate.BackEnd)] = limit
	}
}

// UnreportedLimits returns the limits that back ends have named to this gateway, or ceased to name, and that the leader has
// not been told.
func (r *Router) UnreportedLimits() []fleetlimit.Named {
	heard := make([]fleetlimit.Named, 0, len(r.limits))
	for backEnd, limit := range r.limits {
		heard = append(heard, fleetlimit.Named{BackEnd: backEnd, Limit: limit})
	}
	return heard
}

// MarkLimitsReported notes that the leader has been told what back ends had named.
func (r *Router) MarkLimitsReported(told []fleetlimit.Named) {
	for _, named := range told {
		if r.limits[named.BackEnd] == named.Limit {
			delete(r.limits, named.BackEnd)
		}
	}
}

// ApplyLimits takes limits as the leader knows them.
func (r *Router) ApplyLimits(now time.Duration, told []fleetlimit.Named) {
	if len(told) == 0 {
		return
	}
	limits := make(map[uint64]backpressure.Limit, len(told))
	for _, named := range told {
		limits[named.BackEnd] = named.Limit
	}
	for _, candidate := range r.candidates {
		hash := limitHash(candidate.BackEnd)
		limit, known := limits[hash]
		if _, untold := r.limits[hash]; known && !untold {
			candidate.signals.TellLimit(now, limit)
		}
	}
}

// PermitRequest returns what to ask the leader before a request goes to a back end; it reports false where that needs no
// permit. A wait for permits is not looked at: picks have done so.
func (r *Router) PermitRequest(backEnd BackEnd) (ask fleetlimit.Ask, needed bool) {
	candidate, known := r.candidates[backEnd.Name]
	if !known || candidate.Incarnation != backEnd.Incarnation {
		return fleetlimit.Ask{}, false
	}
	limit, own := candidate.signals.Limit()
	return fleetlimit.Ask{BackEnd: limitHash(backEnd), Limit: limit, Heard: own}, limit.Named
}

// ApplyPermitAnswer takes the answer to a PermitAsk; answered is false where no leader gave one.
func (r *Router) ApplyPermitAnswer(now time.Duration, backEnd BackEnd, answer fleetlimit.Answer, answered bool) {
	candidate, known := r.candidates[backEnd.Name]
	if !known || candidate.Incarnation != backEnd.Incarnation {
		return
	}
	if answered {
		candidate.signals.TellLimit(now, answer.Limit)
	}
	if !answer.Granted {
		candidate.signals.AwaitPermit(now + answer.Wait)
	}
}
