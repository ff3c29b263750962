package relay

import (
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// nextDecodeEngine selects the decoding engine that begins or continues a stream. prefill is the prompt that another engine
// has prefilled, nil for none. The engine for which a permit was acquired before the prefill goes first. nextDecodeEngine
// returns nil when no engine is left, or none that may prefill the prompt itself.
func (r *Relay) nextDecodeEngine(stream *streamReply, prefill *remotePrefill) *backEndSelection {
	if run := stream.reservedRun; run != nil {
		stream.reservedRun = nil
		return run
	}
	var near *backEnd
	if prefill != nil {
		near = prefill.engine
	}
	return r.decide(stream.request, newEngineQuery(purposeDecode, stream.attempts, stream.placementRequest(prefill)), near).selection
}

// nextPrefillEngine selects the engine that prefills the prompt; nil when there is none.
func (r *Relay) nextPrefillEngine(stream *streamReply) *backEndSelection {
	return r.decide(stream.request, newEngineQuery(purposePrefill, stream.attempts, stream.placementRequest(nil)), nil).selection
}

// streamStart says where a stream begins: at a decoding engine that also prefills the prompt, with a prompt that a prefill
// engine has processed, or nowhere because too much work is queued.
type streamStart struct {
	direct  *backEndSelection
	prefill *remotePrefill
	refusal *refusal
}

// beginStream decides where to prefill the prompt, and lets a prefill engine process it when the decision says so.
func (r *Relay) beginStream(stream *streamReply) streamStart {
	request := stream.request
	if request.service.Engine == nil || request.prompt.PromptTokens == 0 || request.isTrial {
		return streamStart{} // a trial must reach a single engine, which also prefills the prompt
	}
	if r.allLimited(request.service.Name, answeringStage(request.service)) {
		if stream.reservedRun = r.reserveRun(stream); stream.reservedRun == nil {
			response := stream.attempts.refusal()
			return streamStart{refusal: &response}
		}
	}
	for waits := 0; ; waits++ {
		decision, selection := r.decidePrefill(stream, waits)
		switch decision.Action {
		case placement.AwaitSharedPrefill:
			if !r.awaitPrefill(stream, selection) {
				waits = r.policy.MaxPrefillWaits // decide again without further waits
			}
		case placement.PrefillOnDecodeEngine:
			return streamStart{direct: selection}
		case placement.PrefillSeparately:
			return streamStart{prefill: r.prefillWithRetry(stream, selection)}
		case placement.Refuse:
			if stream.attempts.isBound() { // a stream that has begun goes before one that has not
				return streamStart{}
			}
			r.recordRefusedWork(stream, decision, selection)
			return streamStart{refusal: &refusal{
				status: fasthttp.StatusServiceUnavailable, reason: stream.request.trace.placementReason, retryAfter: decision.RetryAfter,
			}}
		default:
			return streamStart{}
		}
	}
}

// recordRefusedWork counts refused work as demand, so that more engines are assigned to the stage that lacks capacity.
func (r *Relay) recordRefusedWork(stream *streamReply, decision placement.Decision, selection *backEndSelection) {
	service := stream.request.service.Name
	if decision.OverloadedStage == serving.StageDecode {
		r.work.AddDecode(service, r.work.SlotHoldTime(service)/time.Duration(max(selection.backEnd.Slots, 1)))
		return
	}
	r.recordPrefillDemand(service, selection.backEnd, selection.EffectiveTokens)
}

// recordPrefillDemand counts a prefill of effort tokens as demand for prefill engines.
func (r *Relay) recordPrefillDemand(service string, engine *backEnd, effort int) {
	r.work.AddPrefill(service, placement.PrefillTime(r.prefillSpeed.timePerToken(engine.hash), effort))
}

// decidePrefill decides where to prefill the prompt, after the given number of waits for other requests' prefills.
func (r *Relay) decidePrefill(stream *streamReply, waits int) (placement.Decision, *backEndSelection) {
	criteria := stream.placementRequest(nil)
	criteria.PrefillWaits = waits
	criteria.SlotHoldTime = r.work.SlotHoldTime(stream.request.service.Name)
	criteria.TimeLeft = stream.request.deadline - criteria.Now
	answer := r.decide(stream.request, stream.prefillQuery(criteria), nil)
	if answer.decision.Action == placement.PrefillOnDecodeEngine && stream.reservedRun != nil {
		r.placements.cancel(answer.selection.assignment)
		answer.selection, stream.reservedRun = stream.reservedRun, nil
	}
	stream.request.trace.placementReason = answer.reason()
	return answer.decision, answer.selection
}

// decide returns the decision of the owners of the request's home cells. When near is not nil, the cell of that engine is
// queried first. An engine with a limit is selected only when the limit's owner grants a permit for the request.
func (r *Relay) decide(request *request, query *engineQuery, near *backEnd) engineAnswer {
	for {
		answer := r.decideOnce(request, query, near)
		action := answer.decision.Action
		if action != placement.PrefillOnDecodeEngine && action != placement.PrefillSeparately || query.hasPermit && action == placement.PrefillOnDecodeEngine {
			return answer
		}
		if r.acquirePermitFor(answer.selection, request.rank) {
			return answer
		}
		r.placements.cancel(answer.selection.assignment)
		if len(query.excluded) >= maxExcluded {
			return engineAnswer{decision: decisionFor(placement.Unplaced, nil)}
		}
		query.excluded, query.holder = append(query.excluded, answer.selection.backEnd.hash), nil
	}
}

// decideOnce queries the owners once, without regard to permits.
func (r *Relay) decideOnce(request *request, query *engineQuery, near *backEnd) engineAnswer {
	ownership := r.owners.current.Load()
	cells := ownership.services[query.service]
	if cells == nil || request.service.Engine == nil {
		return r.placementOwner.decide(query, r.view.Load().byService[query.service], nil)
	}
	homes := cells.homeCells(query.request.Prompt, request.id, r.settings.Zone, r.policy.MinSharedTokens, maxHomeCells)
	if query.version != streamorigin.None && query.purpose != purposePrefill {
		homes = cells.withVersion(homes, query.version, maxHomeCells)
	}
	if near != nil {
		if cellsOfNear, index := ownership.cellOf(near); cellsOfNear == cells {
			homes = append([]int{index}, slices.DeleteFunc(homes, func(home int) bool { return home == index })...)
		}
	}
	return r.placements.decide(cells, homes, query, request.canceller.done())
}

// priorityHeader returns the header with the request's rank for an engine's queue.
func (r *Relay) priorityHeader(rank int) header {
	return header{r.dialect.Headers.Priority, strconv.Itoa(min(max(rank, 0), placement.RankCount-1))}
}

// allLimited reports whether all available engines of a stage have limits.
func (r *Relay) allLimited(service string, stage serving.Stage) bool {
	limited := false
	for _, engine := range r.view.Load().byService[service] {
		if engine.Stage != stage || engine.isClosed() {
			continue
		}
		if !engine.hasLimit() {
			return false
		}
		limited = true
	}
	return limited
}

// reserveRun acquires a permit for the run before the prefill, where all decoding engines have limits: otherwise a prefill
// would be wasted when the run is refused. Since the prompt is prefilled for this run, the run must continue at its engine.
func (r *Relay) reserveRun(stream *streamReply) *backEndSelection {
	run := r.nextDecodeEngine(stream, nil)
	if run != nil {
		run.mustResume = true
	}
	return run
}
