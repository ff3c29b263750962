package relay

import (
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// nextEngine picks the decoding engine that goes on with a stream; nil when there is none, or
// none that may read the prompt itself. One for which a permit was taken before goes first.
func (r *Relay) nextEngine(stream *streamReply, held *heldPrompt) *place {
	if reserved := stream.reserved; reserved != nil {
		stream.reserved = nil
		return reserved
	}
	var near *backEnd
	if held != nil {
		near = held.engine
	}
	return r.decide(stream.request, queryOf(toGenerate, stream.tried, stream.wanted(held)), near).chosen
}

// nextReader picks the prefill engine that reads the prompt; nil when there is none.
func (r *Relay) nextReader(stream *streamReply) *place {
	return r.decide(stream.request, queryOf(toRead, stream.tried, stream.wanted(nil)), nil).chosen
}

// start says where a stream begins: at a decoding engine that reads the prompt itself, with a
// prompt that a prefill engine has read, or nowhere because too much waits.
type start struct {
	direct  *place
	held    *heldPrompt
	refused *refusal
}

// beginStream decides where the prompt is read, and has it read there when that is at a
// prefill engine.
func (r *Relay) beginStream(stream *streamReply) start {
	request := stream.request
	if request.service.Engine == nil || request.prompt.PromptTokens == 0 || request.trial {
		return start{} // a trial reaches one engine, which reads the prompt itself
	}
	if r.allLimited(request.service.Name, answeringStage(request.service)) {
		if stream.reserved = r.reserve(stream); stream.reserved == nil {
			refused := stream.tried.refusal()
			return start{refused: &refused}
		}
	}
	for waits := 0; ; waits++ {
		decision, chosen := r.placeReading(stream, waits)
		switch decision.Action {
		case placement.AwaitSharedPrefill:
			if !r.awaitReading(stream, chosen) {
				waits = r.policy.MaxPrefillWaits // it goes where it had better not wait any more
			}
		case placement.PrefillOnDecodeEngine:
			return start{direct: chosen}
		case placement.PrefillSeparately:
			return start{held: r.readTwice(stream, chosen)}
		case placement.Refuse:
			r.noteRefusedWork(stream, decision, chosen)
			return start{refused: &refusal{
				status: fasthttp.StatusServiceUnavailable, reason: stream.request.trace.placed, retryAfter: decision.RetryAfter,
			}}
		default:
			return start{}
		}
	}
}

// noteRefusedWork counts what is refused as asked for, so that more engines take the stage that is
// short of them.
func (r *Relay) noteRefusedWork(stream *streamReply, decision placement.Decision, chosen *place) {
	service := stream.request.service.Name
	if decision.OverloadedStage == serving.StageDecode {
		r.work.AddDecode(service, r.work.Residence(service)/time.Duration(max(chosen.backEnd.Slots, 1)))
		return
	}
	r.noteAskedReading(service, chosen.backEnd, chosen.EffectiveTokens)
}

// noteAskedReading counts a reading as work that prefill engines are asked for.
func (r *Relay) noteAskedReading(service string, engine *backEnd, effort int) {
	r.work.AddPrefill(service, placement.PrefillTime(r.pace.of(engine.hash), effort))
}

// placeReading decides where the prompt is read, after so many waits for others' readings.
func (r *Relay) placeReading(stream *streamReply, waits int) (placement.Decision, *place) {
	wanted := stream.wanted(nil)
	wanted.PrefillWaits = waits
	wanted.SlotHoldTime = r.work.Residence(stream.request.service.Name)
	wanted.TimeLeft = stream.request.deadline - wanted.Now
	answer := r.decide(stream.request, stream.beginning(wanted), nil)
	if answer.decision.Action == placement.PrefillOnDecodeEngine && stream.reserved != nil {
		r.asker.cancel(answer.chosen.assigned)
		answer.chosen, stream.reserved = stream.reserved, nil
	}
	stream.request.trace.placed = answer.reason()
	return answer.decision, answer.chosen
}

// decide has the owners of the request's home cells decide on its engine. Near an engine, its own cell is the first. An
// engine that names a limit is taken where it permits the request.
func (r *Relay) decide(request *request, query *engineQuery, near *backEnd) engineAnswer {
	for {
		answer := r.decideOnce(request, query, near)
		action := answer.decision.Action
		if action != placement.PrefillOnDecodeEngine && action != placement.PrefillSeparately || query.reserved && action == placement.PrefillOnDecodeEngine {
			return answer
		}
		if r.permitPlace(answer.chosen, request.rank) {
			return answer
		}
		r.asker.cancel(answer.chosen.assigned)
		if len(query.excluded) >= mostExcluded {
			return engineAnswer{decision: decisionFor(placement.Unplaced, nil)}
		}
		query.excluded, query.holder = append(query.excluded, answer.chosen.backEnd.hash), nil
	}
}

// decideOnce has them decide among the engines that are not excluded.
func (r *Relay) decideOnce(request *request, query *engineQuery, near *backEnd) engineAnswer {
	ownership := r.owners.current.Load()
	known := ownership.services[query.service]
	if known == nil || request.service.Engine == nil {
		return r.owner.decide(query, r.view.Load().byService[query.service], nil)
	}
	homes := known.homes(query.request.Prompt, request.id, r.settings.Zone, r.policy.MinSharedTokens, mostHomes)
	if near != nil {
		if of, index := ownership.of(near); of == known {
			homes = append([]int{index}, slices.DeleteFunc(homes, func(home int) bool { return home == index })...)
		}
	}
	answer := r.asker.decide(known, homes, query, request.canceller.gone())
	if answer.chosen != nil {
		request.trace.owner = answer.chosen.assigned.owner
	}
	return answer
}

// rankHeader ranks a request at an engine.
func (r *Relay) rankHeader(rank int) header {
	return header{r.dialect.Headers.Priority, strconv.Itoa(min(max(rank, 0), placement.RankCount-1))}
}

// allLimited reports whether all engines of a stage that take work name limits.
func (r *Relay) allLimited(service string, stage serving.Stage) bool {
	limited := false
	for _, engine := range r.view.Load().byService[service] {
		if engine.Stage != stage || engine.leaving() || engine.Changing {
			continue
		}
		if !engine.limited() {
			return false
		}
		limited = true
	}
	return limited
}

// reserve takes a permit for the run before the prompt is read, where no engine generates without one: a prompt that
// was read for a run that is then refused was read in vain. The run is owed once that has been done.
func (r *Relay) reserve(stream *streamReply) *place {
	reserved := r.nextEngine(stream, nil)
	if reserved != nil {
		reserved.owed = true
	}
	return reserved
}
