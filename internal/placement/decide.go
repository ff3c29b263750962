package placement

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Action is what a decision on the reading of a prompt asks for.
type Action int

// Actions.
const (
	// Unplaced requests have no engine that could read their prompt now.
	Unplaced Action = iota
	// PrefillOnDecodeEngine has a decoding engine read the prompt and generate.
	PrefillOnDecodeEngine
	// PrefillSeparately has a prefill engine read the prompt for a decoding one.
	PrefillSeparately
	// AwaitSharedPrefill waits until the engine has read shared parts for another request.
	AwaitSharedPrefill
	// Refuse gives the request up, which has not run.
	Refuse
)

// Decision is what becomes of the reading of a prompt. Engine is set but for Unplaced.
type Decision struct {
	Action Action
	Engine *Candidate
	// OverloadedStage is the stage whose engines have too little time for a request that is refused.
	OverloadedStage serving.Stage
	// Reason says why, and RetryAfter when a refused request had better come back.
	Reason     Reason
	RetryAfter time.Duration
}

// PlacePrefill decides where a prompt is read: at the prefill engine or at the decoding one that
// generates, whichever has it sooner.
func (p Parameters) PlacePrefill(request Request, engines []Engine, draw func() float64) Decision {
	direct := p.best(request, serving.StageDecode, engines, draw)
	apart := p.PickPrefillEngine(request, engines, draw)
	decision := p.chooseReader(direct, apart)
	switch chosen := decision.Engine; {
	case chosen == nil:
		return Decision{Action: Unplaced, Reason: ReasonNoEngine}
	case p.slotsTaken(request, engines):
		return Decision{Action: Refuse, Engine: chosen, OverloadedStage: serving.StageDecode, Reason: ReasonSlotsTaken, RetryAfter: p.comeBack(request, draw)}
	case chosen.PendingTokens >= p.MinPendingTokens && request.PrefillWaits < p.MaxPrefillWaits:
		return Decision{Action: AwaitSharedPrefill, Engine: chosen, Reason: ReasonSharedPrefillRunning}
	case decision.Action == PrefillSeparately && chosen.QueueDelay > p.longestWait(request, chosen.PrefillTokens):
		return Decision{Action: Refuse, Engine: chosen, OverloadedStage: serving.StagePrefill, Reason: ReasonPrefillQueueFull, RetryAfter: p.comeBack(request, draw)}
	default:
		return decision
	}
}

// slotsTaken reports whether a request would wait for a slot too long at every decoding engine.
// Those of the first rank are let in before all others, so that they wait for one another only.
func (p Parameters) slotsTaken(request Request, engines []Engine) bool {
	if request.Rank.First == 0 || request.SlotHoldTime <= 0 {
		return false
	}
	open := false
	for _, engine := range engines {
		if !engine.isOpen(serving.StageDecode) || engine.Slots <= 0 {
			continue
		}
		open = true
		wait := time.Duration(engine.Work.Streams-engine.Slots) * request.SlotHoldTime / time.Duration(engine.Slots)
		if wait < time.Duration(p.MaxSlotDelayShare*float64(request.Target)) {
			return false
		}
	}
	return open
}

// longestWait is how long a prompt may wait to be read. One of which more than usual is kept may
// wait longer, and one of which less is kept must not wait as long: the worth of an answer goes by
// the size of its prompt, and what it costs others by the part that is read.
func (p Parameters) longestWait(request Request, toRead int) time.Duration {
	share := float64(max(toRead, 1)) / float64(max(request.Tokens, 1))
	scale := min(max(request.UncachedShare/share, p.MinDelayScale), p.MaxDelayScale)
	return time.Duration(p.MaxPrefillDelayShare * scale * float64(request.Target))
}

// comeBack is when a refused client had better come back: those that are refused together are
// spread over the time in which they can still be served, and do not meet the same crowd again.
func (p Parameters) comeBack(request Request, draw func() float64) time.Duration {
	latest := p.RetryShare * float64(request.TimeLeft)
	return time.Duration(latest * (1 - p.RetrySpread*draw()))
}

// chooseReader decides between the decoding engine and the prefill engine; either may be nil.
func (p Parameters) chooseReader(direct, apart *Candidate) Decision {
	switch {
	case apart == nil:
		return Decision{Action: PrefillOnDecodeEngine, Engine: direct, Reason: ReasonNoPrefillEngine}
	case direct != nil && p.readsDirectly(direct, apart):
		return Decision{Action: PrefillOnDecodeEngine, Engine: direct, Reason: ReasonDecodeAsSoon}
	default:
		return Decision{Action: PrefillSeparately, Engine: apart, Reason: ReasonPrefillSooner}
	}
}

// readsDirectly reports whether a decoding engine had better read the prompt itself.
func (p Parameters) readsDirectly(direct, apart *Candidate) bool {
	return direct.PrefillTokens <= p.MaxDecodePrefill && direct.Cost <= apart.Cost+p.KVTransferTime.Seconds()
}

// PickPrefillEngine picks the prefill engine that reads a prompt; nil when there is none.
func (p Parameters) PickPrefillEngine(request Request, engines []Engine, draw func() float64) *Candidate {
	return p.best(request, serving.StagePrefill, engines, draw)
}

// PickMigrationTarget picks the decoding engine with a free slot that takes over a run; nil when there is none.
func (p Parameters) PickMigrationTarget(request Request, engines []Engine, draw func() float64) *Candidate {
	free := slices.Clone(engines)
	for index, engine := range free {
		free[index].Closed = engine.Closed || engine.Work.Streams >= engine.Slots
	}
	return p.best(request, serving.StageDecode, free, draw)
}

// PickBackEnd picks the back end that answers; nil when there is none, or none that may read what
// is left of the prompt itself. While a decoding engine reads a long prompt its other streams
// pause and new ones wait, so it does so only where nothing else waits to be read, and, for a
// request that can still come back, where few streams run.
func (p Parameters) PickBackEnd(request Request, engines []Engine, draw func() float64) *Candidate {
	best := p.best(request, request.Stage, engines, draw)
	if best == nil || request.Stage != serving.StageDecode || best.PrefillTokens <= p.MaxDecodePrefill {
		return best
	}
	work := engines[best.Index].Work
	if work.PromptTokens() > p.MaxDecodePrefill || !request.MayHaveRun && work.Streams > p.MaxPausedStreams {
		return nil
	}
	return best
}

// ShouldSpill reports whether a request had better be offered to engines elsewhere as well: it found
// none here, was refused, or would wait long.
func (p Parameters) ShouldSpill(request Request, decision Decision) bool {
	switch decision.Action {
	case Unplaced, Refuse:
		return true
	case AwaitSharedPrefill:
		return false
	default:
		return decision.Engine.QueueDelay > time.Duration(p.SpillShare*float64(request.Target)) && request.Target > 0
	}
}

// IsBetter reports whether a decision is better than another one elsewhere.
func (d Decision) IsBetter(other Decision) bool {
	if d.order() != other.order() {
		return d.order() < other.order()
	}
	return d.Engine != nil && other.Engine != nil && d.Engine.Cost < other.Engine.Cost
}

// order sorts decisions by what they mean for a request.
func (d Decision) order() int {
	switch d.Action {
	case Refuse:
		return 1
	case Unplaced:
		return 2
	default:
		return 0
	}
}
