package relay

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// nextEngine picks the decoding engine that goes on with a stream; nil when there is none, or
// none that may read the prompt itself.
func (r *Relay) nextEngine(stream *streamReply, held *heldPrompt) *candidate {
	best := r.best(stream.wanted(held), stream.tried)
	if best == nil || held == nil && !r.mayReadItself(stream, best) {
		return nil
	}
	return best
}

// mayReadItself reports whether a decoding engine may read what is left of a prompt. While it
// reads a long one its other streams pause and new ones wait, so it does so only where nothing
// else waits to be read, and, for a request that can still come back, where few streams run.
func (r *Relay) mayReadItself(stream *streamReply, chosen *candidate) bool {
	if stream.request.service.Engine == nil || chosen.toRead <= longestDirect {
		return true
	}
	total := r.totalWork(r.clock.now(), chosen)
	if total.promptTokens() > longestDirect {
		return false
	}
	return stream.tried.mayHaveRun || total.streams <= fewStreams
}

// start says where a stream begins: at a decoding engine that reads the prompt itself, with a
// prompt that a prefill engine has read, or nowhere because too much waits.
type start struct {
	direct  *candidate
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
	chosen := r.placeReading(stream)
	for waits := 0; waits < mostReadingWaits && chosen != nil && chosen.unusable >= leastUnusable; waits++ {
		if !r.awaitReading(stream, chosen) {
			break
		}
		chosen = r.placeReading(stream)
	}
	switch {
	case chosen == nil:
		return start{}
	case chosen.backEnd.Stage != serving.StagePrefill:
		return start{direct: chosen}
	case chosen.waiting > time.Duration(longestWaitShare*float64(request.route.Target)):
		return start{refused: &refusal{
			status: fasthttp.StatusServiceUnavailable, reason: "too many prompts wait to be read", retryAfter: chosen.waiting / 2,
		}}
	default:
		return start{held: r.readTwice(stream, chosen)}
	}
}

// placeReading chooses the engine that reads the prompt: a prefill engine, or the decoding one
// that generates; nil when none is left.
func (r *Relay) placeReading(stream *streamReply) *candidate {
	wanted := stream.wanted(nil)
	direct := r.best(wanted, stream.tried)
	apart := r.best(wanted.atPrefill(stream.request.route), stream.tried)
	if apart == nil || direct != nil && r.readsDirectly(direct, apart) {
		return direct
	}
	return apart
}

// atPrefill is the choice of the prefill engine that reads the prompt in place of the decoding
// one.
func (c choice) atPrefill(route *serving.Route) choice {
	c.stage, c.target = serving.StagePrefill, route.Target
	return c
}

const (
	// longestDirect is the longest reading that a decoding engine takes on while a prefill
	// engine could: its streams would pause too long.
	longestDirect = 2_048
	// fewStreams is how many streams may be held up by a long reading.
	fewStreams = 2
	// longestWaitShare is how many targets of its route a prompt may wait to be read: one that
	// waits longer would be late, and those behind it too.
	longestWaitShare = 1.2
)

// readsDirectly reports whether a decoding engine had better read the prompt itself.
func (r *Relay) readsDirectly(direct, apart *candidate) bool {
	return direct.toRead <= longestDirect && direct.cost <= apart.cost+handOverTime.Seconds()
}

// rankHeader ranks a request at an engine.
func (r *Relay) rankHeader(rank int) header {
	return header{r.dialect.Headers.Priority, strconv.Itoa(min(max(rank, 0), ranks-1))}
}
