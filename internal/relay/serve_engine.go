package relay

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// nextEngine picks the decoding engine that goes on with a stream; nil when there is none, or
// none that may read the prompt itself.
func (r *Relay) nextEngine(stream *streamReply, held *heldPrompt) *place {
	wanted := stream.wanted(held)
	seen := r.survey(stream.request.service.Name, wanted.Prompt, stream.tried, wanted.Now)
	return seen.place(r.policy.Generator(wanted, seen.engines, r.draw))
}

// nextReader picks the prefill engine that reads the prompt; nil when there is none.
func (r *Relay) nextReader(stream *streamReply) *place {
	wanted := stream.wanted(nil)
	seen := r.survey(stream.request.service.Name, wanted.Prompt, stream.tried, wanted.Now)
	return seen.place(r.policy.Reader(wanted, seen.engines, r.draw))
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
	if request.service.Engine == nil || request.prompt.PromptTokens == 0 {
		return start{}
	}
	for waits := 0; ; waits++ {
		decision, chosen := r.placeReading(stream, waits)
		switch decision.Action {
		case placement.AwaitReading:
			if !r.awaitReading(stream, chosen) {
				waits = r.policy.MostWaits // it goes where it had better not wait any more
			}
		case placement.ReadDirectly:
			return start{direct: chosen}
		case placement.ReadApart:
			return start{held: r.readTwice(stream, chosen)}
		case placement.Refuse:
			r.noteRefusedWork(stream, decision, chosen)
			return start{refused: &refusal{
				status: fasthttp.StatusServiceUnavailable, reason: decision.Reason, retryAfter: decision.RetryAfter,
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
	if decision.Short == serving.StageDecode {
		r.work.generate(service, r.work.residence(service)/time.Duration(max(chosen.backEnd.Slots, 1)))
		return
	}
	r.noteAskedReading(service, chosen.backEnd, chosen.Effort)
}

// noteAskedReading counts a reading as work that prefill engines are asked for.
func (r *Relay) noteAskedReading(service string, engine *backEnd, effort int) {
	r.work.read(service, placement.PrefillTime(r.pace.of(engine.hash), effort))
}

// placeReading decides where the prompt is read, after so many waits for others' readings.
func (r *Relay) placeReading(stream *streamReply, waits int) (placement.Decision, *place) {
	wanted := stream.wanted(nil)
	wanted.Waits = waits
	wanted.Residence = r.work.residence(stream.request.service.Name)
	wanted.UsualShare, wanted.TimeLeft = r.pace.usualShare(), stream.request.deadline-wanted.Now
	seen := r.survey(stream.request.service.Name, wanted.Prompt, stream.tried, wanted.Now)
	decision := r.policy.PlaceReading(wanted, seen.engines, r.draw)
	stream.request.trace.placed = decision.Reason
	if decision.Action == placement.ReadApart {
		r.pace.observeShare(wanted.Tokens, decision.Engine.ToRead)
	}
	return decision, seen.place(decision.Engine)
}

// rankHeader ranks a request at an engine.
func (r *Relay) rankHeader(rank int) header {
	return header{r.dialect.Headers.Priority, strconv.Itoa(min(max(rank, 0), placement.Ranks-1))}
}
