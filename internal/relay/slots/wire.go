package slots

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/returnplan"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

const (
	// maxRetryAfter bounds the time after which the answer of another relay can tell a client to return.
	maxRetryAfter = 10 * time.Second
	// maxDuration bounds the durations in requests, reports and promises, so that sums with the clock cannot overflow.
	maxDuration = time.Hour
	// maxExcluded is how many excluded back ends a request lists; more would not fit into a datagram with the rest.
	maxExcluded = 64
	// usualPercent is the slowdown of a back end at its usual speed, in percent.
	usualPercent = 100
)

// requestToWire encodes a request for a slot at the time now.
func requestToWire(request *Request, id slotqueue.RequestID, now time.Duration) *v1.SlotRequest {
	return &v1.SlotRequest{
		Relay: id.Relay, Number: id.Number, Service: request.Service, Level: uint32(max(request.Level, 0)), Tenant: request.Tenant,
		TargetUs: toMicroseconds(request.TargetAt - now), TimeLeftUs: toMicroseconds(request.DeadlineAt - now),
		Signature: request.Signature, Excluded: request.Excluded[:min(len(request.Excluded), maxExcluded)], MayHaveRun: request.MayHaveRun,
	}
}

// requestFromWire decodes a request for a slot that arrived at the time now.
func requestFromWire(request *v1.SlotRequest, now time.Duration) slotqueue.Request {
	return slotqueue.Request{
		ID: requestID(request), Level: int(min(request.GetLevel(), slotqueue.LevelCount-1)), Tenant: request.GetTenant(),
		TargetAt: now + fromMicroseconds(request.GetTargetUs()), DeadlineAt: now + fromMicroseconds(request.GetTimeLeftUs()),
		Signature: request.GetSignature(), Excluded: request.GetExcluded(), MayHaveRun: request.GetMayHaveRun(),
	}
}

func requestID(request *v1.SlotRequest) slotqueue.RequestID {
	return slotqueue.RequestID{Relay: request.GetRelay(), Number: request.GetNumber()}
}

var outcomesToWire = map[slotqueue.Outcome]v1.SlotOutcome{
	slotqueue.Queued:  v1.SlotOutcome_SLOT_OUTCOME_QUEUED,
	slotqueue.Granted: v1.SlotOutcome_SLOT_OUTCOME_GRANTED,
	slotqueue.Refused: v1.SlotOutcome_SLOT_OUTCOME_REFUSED,
}

// answerToWire encodes a decision.
func answerToWire(decision *slotqueue.Decision) *v1.SlotAnswer {
	return &v1.SlotAnswer{
		Number: decision.ID.Number, Relay: decision.ID.Relay, Outcome: outcomesToWire[decision.Outcome],
		BackEnd: decision.BackEnd, LeaseUs: toMicroseconds(decision.Lease), RetryAfterUs: toMicroseconds(decision.RetryAfter),
		IsPromised: decision.Promised, Reason: uint32(decision.Reason),
	}
}

// notOwner returns the answer of a relay that does not grant the service's slots.
func notOwner(id slotqueue.RequestID) *v1.SlotAnswer {
	return &v1.SlotAnswer{Number: id.Number, Relay: id.Relay, Outcome: v1.SlotOutcome_SLOT_OUTCOME_NOT_OWNER}
}

// retryAfterFromWire returns when the client of a refused request should return.
func retryAfterFromWire(answer *v1.SlotAnswer) time.Duration {
	return min(fromMicroseconds(answer.GetRetryAfterUs()), maxRetryAfter)
}

// reportToWire encodes a report on the slots of a service.
func reportToWire(service string, report slotqueue.Report) *v1.SlotReport {
	message := &v1.SlotReport{Relay: report.Relay, Sequence: report.Sequence, Service: service, AnsweredUpTo: report.AnsweredUpTo}
	for _, held := range report.Held {
		message.Held = append(message.Held, &v1.HeldSlot{Number: held.Number, BackEnd: held.BackEnd})
	}
	for number, result := range report.Released {
		message.Released = append(message.Released, releasedToWire(number, result))
	}
	return message
}

// releasedToWire encodes a released slot.
func releasedToWire(number uint64, result slotqueue.Result) *v1.ReleasedSlot {
	return &v1.ReleasedSlot{
		Number: number, ServiceUs: toMicroseconds(result.ServiceTime),
		SlowdownPercent: uint32(max(result.Slowdown, 0)*usualPercent + 0.5), TurnedAway: result.TurnedAway,
	}
}

// reportFromWire decodes a report.
func reportFromWire(report *v1.SlotReport) slotqueue.Report {
	decoded := slotqueue.Report{
		Relay: report.GetRelay(), Sequence: report.GetSequence(), AnsweredUpTo: report.GetAnsweredUpTo(),
		// The message does not say whether the list is cut; a full one may be.
		IsCut:    len(report.GetHeld()) >= maxHeldInReport,
		Released: make(map[uint64]slotqueue.Result, len(report.GetReleased())),
	}
	for _, held := range report.GetHeld() {
		decoded.Held = append(decoded.Held, slotqueue.Held{Number: held.GetNumber(), BackEnd: held.GetBackEnd()})
	}
	for _, released := range report.GetReleased() {
		decoded.Released[released.GetNumber()] = slotqueue.Result{
			ServiceTime: fromMicroseconds(released.GetServiceUs()),
			Slowdown:    float64(released.GetSlowdownPercent()) / usualPercent, TurnedAway: released.GetTurnedAway(),
		}
	}
	return decoded
}

// promiseToWire encodes a change of the promises at the time now.
func promiseToWire(change returnplan.Change, now time.Duration) *v1.SlotPromise {
	return &v1.SlotPromise{
		Signature: change.Promise.Signature, Tenant: change.Promise.Tenant, Level: uint32(max(change.Promise.Level, 0)),
		DueUs: toMicroseconds(change.Promise.DueAt - now), Redeemed: change.Redeemed,
	}
}

// promiseFromWire decodes a change of the promises that arrived at the time now.
func promiseFromWire(promise *v1.SlotPromise, now time.Duration) returnplan.Change {
	return returnplan.Change{
		Promise: returnplan.Promise{
			Signature: promise.GetSignature(), Tenant: promise.GetTenant(),
			Level: int(min(promise.GetLevel(), slotqueue.LevelCount-1)), DueAt: now + fromMicroseconds(promise.GetDueUs()),
		},
		Redeemed: promise.GetRedeemed(),
	}
}

// toMicroseconds encodes a duration; a negative one is encoded as 0.
func toMicroseconds(duration time.Duration) uint64 { return uint64(max(duration.Microseconds(), 0)) }

// fromMicroseconds decodes a duration.
func fromMicroseconds(count uint64) time.Duration {
	return time.Duration(min(count, uint64(maxDuration.Microseconds()))) * time.Microsecond
}
