package relay

import (
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// nextDecodeEngine picks the decoding engine that goes on with a stream; nil when there is none, or
// none that may read the prompt itself. One for which a permit was taken before goes first.
func (r *Relay) nextDecodeEngine(stream *streamReply, prefill *remotePrefill) *selection {
	if run := stream.reservedRun; run != nil {
		stream.reservedRun = nil
		return run
	}
	var near *backEnd
	if prefill != nil {
		near = prefill.engine
	}
	return r.decide(stream.request, newEngineQuery(purposeDecode, stream.attempts, stream.placementRequest(prefill)), near).chosen
}

// nextPrefillEngine picks the prefill engine that reads the prompt; nil when there is none.
func (r *Relay) nextPrefillEngine(stream *streamReply) *selection {
	return r.decide(stream.request, newEngineQuery(purposePrefill, stream.attempts, stream.placementRequest(nil)), nil).chosen
}

// streamStart says where a stream begins: at a decoding engine that reads the prompt itself, with a
// prompt that a prefill engine has read, or nowhere because too much waits.
type streamStart struct {
	direct  *selection
	prefill *remotePrefill
	refusal *refusal
}

// beginStream decides where the prompt is read, and has it read there when that is at a
// prefill engine.
func (r *Relay) beginStream(stream *streamReply) streamStart {
	request := stream.request
	if request.service.Engine == nil || request.prompt.PromptTokens == 0 || request.isTrial {
		return streamStart{} // a trial reaches one engine, which reads the prompt itself
	}
	if r.allLimited(request.service.Name, answeringStage(request.service)) {
		if stream.reservedRun = r.reserveRun(stream); stream.reservedRun == nil {
			refused := stream.attempts.refusal()
			return streamStart{refusal: &refused}
		}
	}
	for waits := 0; ; waits++ {
		decision, chosen := r.decidePrefill(stream, waits)
		switch decision.Action {
		case placement.AwaitSharedPrefill:
			if !r.awaitPrefill(stream, chosen) {
				waits = r.policy.MaxPrefillWaits // it goes where it had better not wait any more
			}
		case placement.PrefillOnDecodeEngine:
			return streamStart{direct: chosen}
		case placement.PrefillSeparately:
			return streamStart{prefill: r.prefillWithRetry(stream, chosen)}
		case placement.Refuse:
			r.recordRefusedWork(stream, decision, chosen)
			return streamStart{refusal: &refusal{
				status: fasthttp.StatusServiceUnavailable, reason: stream.request.trace.placementReason, retryAfter: decision.RetryAfter,
			}}
		default:
			return streamStart{}
		}
	}
}

// recordRefusedWork counts what is refused as asked for, so that more engines take the stage that is
// short of them.
func (r *Relay) recordRefusedWork(stream *streamReply, decision placement.Decision, chosen *selection) {
	service := stream.request.service.Name
	if decision.OverloadedStage == serving.StageDecode {
		r.work.AddDecode(service, r.work.Residence(service)/time.Duration(max(chosen.backEnd.Slots, 1)))
		return
	}
	r.recordPrefillDemand(service, chosen.backEnd, chosen.EffectiveTokens)
}

// recordPrefillDemand counts a reading as work that prefill engines are asked for.
func (r *Relay) recordPrefillDemand(service string, engine *backEnd, effort int) {
	r.work.AddPrefill(service, placement.PrefillTime(r.pace.timePerToken(engine.hash), effort))
}

// decidePrefill decides where the prompt is read, after so many waits for others' readings.
func (r *Relay) decidePrefill(stream *streamReply, waits int) (placement.Decision, *selection) {
	wanted := stream.placementRequest(nil)
	wanted.PrefillWaits = waits
	wanted.SlotHoldTime = r.work.Residence(stream.request.service.Name)
	wanted.TimeLeft = stream.request.deadline - wanted.Now
	answer := r.decide(stream.request, stream.prefillQuery(wanted), nil)
	if answer.decision.Action == placement.PrefillOnDecodeEngine && stream.reservedRun != nil {
		r.placements.cancel(answer.chosen.assignment)
		answer.chosen, stream.reservedRun = stream.reservedRun, nil
	}
	stream.request.trace.placementReason = answer.reason()
	return answer.decision, answer.chosen
}

// decide has the owners of the request's home cells decide on its engine. Near an engine, its own cell is the first. An
// engine that names a limit is taken where it permits the request.
func (r *Relay) decide(request *request, query *engineQuery, near *backEnd) engineAnswer {
	for {
		answer := r.decideOnce(request, query, near)
		action := answer.decision.Action
		if action != placement.PrefillOnDecodeEngine && action != placement.PrefillSeparately || query.hasPermit && action == placement.PrefillOnDecodeEngine {
			return answer
		}
		if r.acquirePermitFor(answer.chosen, request.rank) {
			return answer
		}
		r.placements.cancel(answer.chosen.assignment)
		if len(query.excluded) >= maxExcluded {
			return engineAnswer{decision: decisionFor(placement.Unplaced, nil)}
		}
		query.excluded, query.holder = append(query.excluded, answer.chosen.backEnd.hash), nil
	}
}

// decideOnce has them decide among the engines that are not excluded.
func (r *Relay) decideOnce(request *request, query *engineQuery, near *backEnd) engineAnswer {
	ownership := r.owners.current.Load()
	cells := ownership.services[query.service]
	if cells == nil || request.service.Engine == nil {
		return r.owner.decide(query, r.view.Load().byService[query.service], nil)
	}
	homes := cells.homeCells(query.request.Prompt, request.id, r.settings.Zone, r.policy.MinSharedTokens, maxHomeCells)
	if near != nil {
		if cellsOfNear, index := ownership.cellOf(near); cellsOfNear == cells {
			homes = append([]int{index}, slices.DeleteFunc(homes, func(home int) bool { return home == index })...)
		}
	}
	answer := r.placements.decide(cells, homes, query, request.canceller.done())
	if answer.chosen != nil {
		request.trace.owner = answer.chosen.assignment.owner
	}
	return answer
}

// priorityHeader ranks a request at an engine.
func (r *Relay) priorityHeader(rank int) header {
	return header{r.dialect.Headers.Priority, strconv.Itoa(min(max(rank, 0), placement.RankCount-1))}
}

// allLimited reports whether all engines of a stage that take work name limits.
func (r *Relay) allLimited(service string, stage serving.Stage) bool {
	limited := false
	for _, engine := range r.view.Load().byService[service] {
		if engine.Stage != stage || engine.isLeaving() || engine.Changing {
			continue
		}
		if !engine.hasLimit() {
			return false
		}
		limited = true
	}
	return limited
}

// reserveRun takes a permit for the run before the prompt is read, where no engine generates without one: a prompt that
// was read for a run that is then refused was read in vain. The run is owed once that has been done.
func (r *Relay) reserveRun(stream *streamReply) *selection {
	run := r.nextDecodeEngine(stream, nil)
	if run != nil {
		run.isOwed = true
	}
	return run
}
