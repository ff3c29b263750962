package placement

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Action is the outcome of a placement decision.
type Action int

// Actions.
const (
	// Unplaced means that no engine can prefill the prompt now.
	Unplaced Action = iota
	// PrefillOnDecodeEngine has a decode engine prefill the prompt and generate.
	PrefillOnDecodeEngine
	// PrefillSeparately has a prefill engine prefill the prompt for a decode engine.
	PrefillSeparately
	// AwaitSharedPrefill waits until the engine has prefilled shared prefix blocks for another request.
	AwaitSharedPrefill
	// Refuse rejects the request, which has not run.
	Refuse
)

// Decision says where a prompt is prefilled. Engine is nil only for Unplaced.
type Decision struct {
	Action Action
	Engine *Candidate
	// OverloadedStage is the stage whose engines are too busy for a refused request.
	OverloadedStage serving.Stage
	// Reason explains the decision. RetryAfter is the time after which the client of a refused request should retry.
	Reason     Reason
	RetryAfter time.Duration
}

// PlacePrefill decides where a prompt is prefilled: at a prefill engine or at the decode engine that generates,
// whichever finishes first. draw returns random numbers in [0, 1).
func (p Parameters) PlacePrefill(request Request, engines []Engine, draw func() float64) Decision {
	decode := p.bestCandidate(request, serving.StageDecode, engines, draw)
	prefill := p.PickPrefillEngine(request, engines, draw)
	decision := p.choosePrefillStage(decode, prefill)
	switch chosen := decision.Engine; {
	case chosen == nil:
		return Decision{Action: Unplaced, Reason: ReasonNoEngine}
	case p.areSlotsTaken(request, engines):
		return Decision{Action: Refuse, Engine: chosen, OverloadedStage: serving.StageDecode, Reason: ReasonSlotsTaken, RetryAfter: p.retryAfter(request, draw)}
	case chosen.PendingTokens >= p.MinPendingTokens && request.PrefillWaits < p.MaxPrefillWaits:
		return Decision{Action: AwaitSharedPrefill, Engine: chosen, Reason: ReasonSharedPrefillRunning}
	case decision.Action == PrefillSeparately && chosen.QueueDelay > p.maxPrefillDelay(request, chosen.PrefillTokens):
		return Decision{Action: Refuse, Engine: chosen, OverloadedStage: serving.StagePrefill, Reason: ReasonPrefillQueueFull, RetryAfter: p.retryAfter(request, draw)}
	default:
		return decision
	}
}

// areSlotsTaken reports whether a request would wait too long for a slot at every decode engine. It returns false for
// requests of rank 0, which are admitted before all others and so wait only for one another, and while the time
// for which requests hold their slots is unknown.
func (p Parameters) areSlotsTaken(request Request, engines []Engine) bool {
	if request.Rank.First == 0 || request.SlotHoldTime <= 0 {
		return false
	}
	eligible := false
	for _, engine := range engines {
		if !engine.isEligible(serving.StageDecode) || engine.Slots <= 0 {
			continue
		}
		eligible = true
		wait := time.Duration(engine.Work.Streams-engine.Slots) * request.SlotHoldTime / time.Duration(engine.Slots)
		if wait < time.Duration(p.MaxSlotDelayShare*float64(request.Target)) {
			return false
		}
	}
	return eligible
}

// maxPrefillDelay returns how long a prompt may wait for its prefill. A prompt of which a larger share than usual is
// cached may wait longer, and one with a smaller share must wait less: the worth of an answer depends on the size of
// the prompt, but the cost to other requests depends on the tokens that are prefilled.
func (p Parameters) maxPrefillDelay(request Request, prefillTokens int) time.Duration {
	share := float64(max(prefillTokens, 1)) / float64(max(request.Tokens, 1))
	scale := min(max(request.UncachedShare/share, p.MinDelayScale), p.MaxDelayScale)
	return time.Duration(p.MaxPrefillDelayShare * scale * float64(request.Target))
}

// retryAfter returns the time after which a refused client should retry. Clients that are refused together are spread
// over the time in which they can still be served, so that they do not return at once.
func (p Parameters) retryAfter(request Request, draw func() float64) time.Duration {
	latest := p.RetryShare * float64(request.TimeLeft)
	return time.Duration(latest * (1 - p.RetrySpread*draw()))
}

// choosePrefillStage chooses between the decode engine and the prefill engine. Either may be nil.
func (p Parameters) choosePrefillStage(decode, prefill *Candidate) Decision {
	switch {
	case prefill == nil:
		return Decision{Action: PrefillOnDecodeEngine, Engine: decode, Reason: ReasonNoPrefillEngine}
	case decode != nil && p.prefersDecodeEngine(decode, prefill):
		return Decision{Action: PrefillOnDecodeEngine, Engine: decode, Reason: ReasonDecodeAsSoon}
	default:
		return Decision{Action: PrefillSeparately, Engine: prefill, Reason: ReasonPrefillSooner}
	}
}

// prefersDecodeEngine reports whether the decode engine should prefill the prompt itself.
func (p Parameters) prefersDecodeEngine(decode, prefill *Candidate) bool {
	return decode.PrefillTokens <= p.MaxDecodePrefill && decode.Cost <= prefill.Cost+p.KVTransferTime.Seconds()
}

// PickPrefillEngine returns the prefill engine for a prompt, or nil if there is none.
func (p Parameters) PickPrefillEngine(request Request, engines []Engine, draw func() float64) *Candidate {
	return p.bestCandidate(request, serving.StagePrefill, engines, draw)
}

// PickMigrationTarget returns the decode engine with a free slot that takes over a run, or nil if there is none.
func (p Parameters) PickMigrationTarget(request Request, engines []Engine, draw func() float64) *Candidate {
	available := slices.Clone(engines)
	for index, engine := range available {
		available[index].Closed = engine.Closed || engine.Work.Streams >= engine.Slots
	}
	return p.bestCandidate(request, serving.StageDecode, available, draw)
}

// PickBackEnd returns the back end that answers, or nil if there is none or if the best one is a decode engine that
// should not prefill the rest of the prompt itself. While a decode engine prefills a long prompt, its other streams
// pause and new ones wait. It therefore does so only if at most MaxDecodePrefill tokens of other prompts wait for
// their prefill there and, for a request that can still be refused, if at most MaxPausedStreams streams run.
func (p Parameters) PickBackEnd(request Request, engines []Engine, draw func() float64) *Candidate {
	best := p.bestCandidate(request, request.Stage, engines, draw)
	if best == nil || request.Stage != serving.StageDecode || best.PrefillTokens <= p.MaxDecodePrefill {
		return best
	}
	work := engines[best.Index].Work
	if work.PromptTokens() > p.MaxDecodePrefill || !request.MayHaveRun && work.Streams > p.MaxPausedStreams {
		return nil
	}
	return best
}

// ShouldSpill reports whether a request should also be offered to engines of other cells: it found no engine
// in this cell, was refused, or would wait long.
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

// IsBetter reports whether the decision is better for the request than the decision of another cell.
func (d Decision) IsBetter(other Decision) bool {
	if d.outcomeOrder() != other.outcomeOrder() {
		return d.outcomeOrder() < other.outcomeOrder()
	}
	return d.Engine != nil && other.Engine != nil && d.Engine.Cost < other.Engine.Cost
}

// outcomeOrder orders decisions by their outcome, the best first.
func (d Decision) outcomeOrder() int {
	switch d.Action {
	case Refuse:
		return 1
	case Unplaced:
		return 2
	default:
		return 0
	}
}
