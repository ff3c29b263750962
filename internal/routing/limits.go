package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
)

// limitKey identifies one incarnation of a back end in the limit counters; it is the same at every gateway.
func limitKey(backEnd BackEnd) uint64 { return hashName(incarnationID(backEnd)) }

// observeLimit applies the limit in a back end's answer to a request sent at sentAt.
func (r *Router) observeLimit(now, sentAt time.Duration, candidate *Candidate, limit backpressure.Limit) {
	if candidate.signals.RecordBackEndLimit(now, sentAt, limit) {
		r.unreportedLimits[limitKey(candidate.BackEnd)] = limit
	}
}

// UnreportedLimits returns the limits that back ends have set or lifted in answers to this gateway and that have
// not been reported to the leader.
func (r *Router) UnreportedLimits() []fleetlimit.BackEndLimit {
	unreported := make([]fleetlimit.BackEndLimit, 0, len(r.unreportedLimits))
	for backEnd, limit := range r.unreportedLimits {
		unreported = append(unreported, fleetlimit.BackEndLimit{BackEnd: backEnd, Limit: limit})
	}
	return unreported
}

// MarkLimitsReported records that limits have been reported to the leader.
func (r *Router) MarkLimitsReported(reported []fleetlimit.BackEndLimit) {
	for _, limit := range reported {
		if r.unreportedLimits[limit.BackEnd] == limit.Limit {
			delete(r.unreportedLimits, limit.BackEnd)
		}
	}
}

// ApplyLimits applies limits received from the leader. It skips back ends that have set a newer limit in an answer to
// this gateway which is not reported to the leader yet.
func (r *Router) ApplyLimits(now time.Duration, received []fleetlimit.BackEndLimit) {
	if len(received) == 0 {
		return
	}
	limits := make(map[uint64]backpressure.Limit, len(received))
	for _, limit := range received {
		limits[limit.BackEnd] = limit.Limit
	}
	for _, candidate := range r.candidates {
		key := limitKey(candidate.BackEnd)
		limit, known := limits[key]
		if _, unreported := r.unreportedLimits[key]; known && !unreported {
			candidate.signals.RecordPeerLimit(now, limit)
		}
	}
}

// PermitRequest returns the permit request to send to the leader before a request goes to a back end, or false if no
// permit is needed. It ignores a pending wait for permits, since Pick has checked it.
func (r *Router) PermitRequest(backEnd BackEnd) (query fleetlimit.PermitRequest, needed bool) {
	candidate, known := r.candidates[backEnd.Name]
	if !known || candidate.Incarnation != backEnd.Incarnation {
		return fleetlimit.PermitRequest{}, false
	}
	limit, fromBackEnd := candidate.signals.Limit()
	return fleetlimit.PermitRequest{BackEnd: limitKey(backEnd), Limit: limit, LimitFromBackEnd: fromBackEnd}, limit.IsSet
}

// ApplyPermitAnswer applies the answer to a PermitRequest; answered is false if no leader answered.
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
