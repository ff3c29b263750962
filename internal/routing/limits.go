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
	if candidate.signals.RecordBackEndLimit(now, sentAt, limit) {
		r.limits[limitHash(candidate.BackEnd)] = limit
	}
}

// UnreportedLimits returns the limits that back ends have named to this gateway, or ceased to name, and that the leader has
// not been told.
func (r *Router) UnreportedLimits() []fleetlimit.BackEndLimit {
	heard := make([]fleetlimit.BackEndLimit, 0, len(r.limits))
	for backEnd, limit := range r.limits {
		heard = append(heard, fleetlimit.BackEndLimit{BackEnd: backEnd, Limit: limit})
	}
	return heard
}

// MarkLimitsReported notes that the leader has been told what back ends had named.
func (r *Router) MarkLimitsReported(told []fleetlimit.BackEndLimit) {
	for _, named := range told {
		if r.limits[named.BackEnd] == named.Limit {
			delete(r.limits, named.BackEnd)
		}
	}
}

// ApplyLimits takes limits as the leader knows them.
func (r *Router) ApplyLimits(now time.Duration, told []fleetlimit.BackEndLimit) {
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
			candidate.signals.RecordPeerLimit(now, limit)
		}
	}
}

// PermitRequest returns what to ask the leader before a request goes to a back end; it reports false where that needs no
// permit. A wait for permits is not looked at: picks have done so.
func (r *Router) PermitRequest(backEnd BackEnd) (ask fleetlimit.PermitRequest, needed bool) {
	candidate, known := r.candidates[backEnd.Name]
	if !known || candidate.Incarnation != backEnd.Incarnation {
		return fleetlimit.PermitRequest{}, false
	}
	limit, own := candidate.signals.Limit()
	return fleetlimit.PermitRequest{BackEnd: limitHash(backEnd), Limit: limit, LimitFromBackEnd: own}, limit.IsSet
}

// ApplyPermitAnswer takes the answer to a PermitAsk; answered is false where no leader gave one.
func (r *Router) ApplyPermitAnswer(now time.Duration, backEnd BackEnd, answer fleetlimit.PermitResponse, answered bool) {
	candidate, known := r.candidates[backEnd.Name]
	if !known || candidate.Incarnation != backEnd.Incarnation {
		return
	}
	if answered {
		candidate.signals.RecordPeerLimit(now, answer.Limit)
	}
	if !answer.Granted {
		candidate.signals.DelayPermits(now + answer.Wait)
	}
}
