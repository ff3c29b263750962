package relay

import (
	"math"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// maximumParts bounds the parts of a prompt that are told in a question; further ones are its own
// most likely, and are read wherever it goes.
const maximumParts = 32

// wirePurposes are the purposes as datagrams name them.
var wirePurposes = map[purpose]v1.PlacementPurpose{
	toBegin:    v1.PlacementPurpose_PLACEMENT_PURPOSE_BEGIN,
	toRead:     v1.PlacementPurpose_PLACEMENT_PURPOSE_READ,
	toGenerate: v1.PlacementPurpose_PLACEMENT_PURPOSE_GENERATE,
	toTakeOver: v1.PlacementPurpose_PLACEMENT_PURPOSE_TAKE_OVER,
}

// purposeFromWire is the reverse of wirePurposes; unknown ones ask for an engine that generates.
func purposeFromWire(told v1.PlacementPurpose) purpose {
	for known, name := range wirePurposes {
		if name == told {
			return known
		}
	}
	return toGenerate
}

// wireActions are the actions as datagrams name them.
var wireActions = map[placement.Action]v1.PlacementAction{
	placement.Unplaced:              v1.PlacementAction_PLACEMENT_ACTION_UNPLACED,
	placement.PrefillOnDecodeEngine: v1.PlacementAction_PLACEMENT_ACTION_READ_DIRECTLY,
	placement.PrefillSeparately:     v1.PlacementAction_PLACEMENT_ACTION_READ_APART,
	placement.AwaitSharedPrefill:    v1.PlacementAction_PLACEMENT_ACTION_WAIT,
	placement.Refuse:                v1.PlacementAction_PLACEMENT_ACTION_REFUSE,
}

// actionFromWire is the reverse of wireActions; unknown ones leave a request unplaced.
func actionFromWire(told v1.PlacementAction) placement.Action {
	for known, name := range wireActions {
		if name == told {
			return known
		}
	}
	return placement.Unplaced
}

// queryToWire is a question to the owner of a cell.
func queryToWire(query *engineQuery, relay, number, cell uint64) *v1.PlacementRequest {
	wanted := query.request
	asked := &v1.PlacementRequest{
		Relay: relay, Number: number, Purpose: wirePurposes[query.purpose], Service: query.service, Cell: cell, Zone: wanted.Zone,
		Rank: uint32(max(wanted.Rank.First, 0)), RankSteps: uint32(max(wanted.Rank.Steps, 0)), TargetUs: microseconds(wanted.Target), GapUs: microseconds(wanted.Gap), Stride: uint32(max(wanted.Stride, 0)),
		Tokens: uint32(max(wanted.Tokens, 0)), TokenMoveNs: uint64(max(wanted.TokenTransferTime, 0)), ResidenceUs: microseconds(wanted.SlotHoldTime),
		TimeLeftUs: microseconds(wanted.TimeLeft), MayHaveRun: wanted.MayHaveRun, Excluded: query.excluded,
	}
	asked.Formats = formats.Supported().ToWire()
	asked.Parts, asked.PartTokens = wireParts(wanted.Prompt[:min(len(wanted.Prompt), maximumParts)])
	if query.holder != nil {
		asked.Holder, asked.HolderTokens = query.holder.engine.hash, uint32(max(query.holder.tokens, 0))
	}
	return asked
}

// queryFromWire is the reverse of queryToWire. What it tells is taken as it is: an answer binds
// nobody.
func queryFromWire(asked *v1.PlacementRequest, view *view) *engineQuery {
	query := &engineQuery{
		purpose: purposeFromWire(asked.GetPurpose()), service: asked.GetService(), excluded: asked.GetExcluded(),
		withoutPermits: !formats.FromWire(asked.GetFormats()).Supports(formats.RelayPermits),
		request: placement.Request{
			Stage: serving.StageDecode, Zone: asked.GetZone(), Rank: rankFromWire(asked),
			Target: fromMicroseconds(asked.GetTargetUs()), Gap: fromMicroseconds(asked.GetGapUs()), Stride: tokensOf(asked.GetStride()),
			Prompt: partsFromWire(asked.GetParts(), asked.GetPartTokens()), Tokens: tokensOf(asked.GetTokens()),
			TokenTransferTime: time.Duration(min(asked.GetTokenMoveNs(), uint64(time.Second))), SlotHoldTime: fromMicroseconds(asked.GetResidenceUs()),
			TimeLeft: fromMicroseconds(asked.GetTimeLeftUs()), MayHaveRun: asked.GetMayHaveRun(),
		},
	}
	if holder := view.byHash[asked.GetHolder()]; holder != nil {
		query.holder = &promptHolder{engine: holder, tokens: tokensOf(asked.GetHolderTokens())}
	}
	return query
}

// rankFromWire reads the rank of a request.
func rankFromWire(asked *v1.PlacementRequest) placement.Rank {
	return placement.Rank{
		First: int(min(asked.GetRank(), placement.RankCount-1)),
		Steps: int(min(max(asked.GetRankSteps(), 1), placement.MaxRankSteps)),
	}
}

// unplacedAnswer tells that the owner knows no engine for a question.
func unplacedAnswer(asked *v1.PlacementRequest) *v1.PlacementAnswer {
	return &v1.PlacementAnswer{
		Relay: asked.GetRelay(), Number: asked.GetNumber(),
		Action: v1.PlacementAction_PLACEMENT_ACTION_UNPLACED, Reason: uint32(placement.ReasonNoEngine), UnknownCell: true,
	}
}

// answerToWire is an owner's answer to a question.
func answerToWire(asked *v1.PlacementRequest, decided engineAnswer) *v1.PlacementAnswer {
	answer := &v1.PlacementAnswer{
		Relay: asked.GetRelay(), Number: asked.GetNumber(), Action: wireActions[decided.decision.Action],
		Reason: uint32(decided.decision.Reason), RetryAfterUs: microseconds(decided.decision.RetryAfter),
		DecodeShort: decided.decision.OverloadedStage == serving.StageDecode,
	}
	if holder := decided.holder; holder != nil {
		answer.Holder, answer.HolderTokens = holder.engine.hash, uint32(max(holder.tokens, 0))
	}
	chosen := decided.chosen
	if chosen == nil {
		return answer
	}
	answer.Engine, answer.ToRead, answer.Effort = chosen.backEnd.hash, uint32(max(chosen.PrefillTokens, 0)), uint32(max(chosen.EffectiveTokens, 0))
	answer.Unusable, answer.WaitingUs = uint32(max(chosen.PendingTokens, 0)), microseconds(chosen.QueueDelay)
	answer.CostUs = microseconds(time.Duration(chosen.Cost * float64(time.Second)))
	answer.Prompts, answer.Streams = uint32(max(chosen.ahead.Prefills, 0)), uint32(max(chosen.ahead.Streams, 0))
	answer.PromptTokens, answer.TokenNs = wireTokens(chosen.ahead), uint64(max(chosen.perToken, 0))
	if chosen.fetchFrom != nil {
		answer.FetchFrom = chosen.fetchFrom.hash
	}
	return answer
}

// answerFromWire is the reverse of answerToWire. It reports false for an answer whose engines are
// not listed here, or take no work by what is known here.
func answerFromWire(told *v1.PlacementAnswer, view *view, excludes func(*backEnd) bool, now time.Duration) (engineAnswer, bool) {
	if told.GetUnknownCell() {
		return engineAnswer{}, false
	}
	answer := engineAnswer{decision: placement.Decision{
		Action: actionFromWire(told.GetAction()), Reason: placement.Reason(told.GetReason()),
		RetryAfter: fromMicroseconds(told.GetRetryAfterUs()), OverloadedStage: serving.StagePrefill,
	}}
	if told.GetDecodeShort() {
		answer.decision.OverloadedStage = serving.StageDecode
	}
	if holder := view.byHash[told.GetHolder()]; holder != nil {
		answer.holder = &promptHolder{engine: holder, tokens: tokensOf(told.GetHolderTokens())}
	}
	if answer.decision.Action == placement.Unplaced {
		return answer, true
	}
	engine := view.byHash[told.GetEngine()]
	if engine == nil || engine.closed(now) || excludes(engine) {
		return engineAnswer{}, false
	}
	answer.chosen = &place{
		backEnd: engine, fetchFrom: view.byHash[told.GetFetchFrom()], perToken: time.Duration(min(told.GetTokenNs(), uint64(time.Second))),
		Candidate: placement.Candidate{
			Index: placement.None, FetchFrom: placement.None, PrefillTokens: tokensOf(told.GetToRead()), EffectiveTokens: tokensOf(told.GetEffort()),
			PendingTokens: tokensOf(told.GetUnusable()), QueueDelay: fromMicroseconds(told.GetWaitingUs()),
			Cost: fromMicroseconds(told.GetCostUs()).Seconds(),
		},
		ahead: placement.Work{Prefills: tokensOf(told.GetPrompts()), Streams: tokensOf(told.GetStreams()), Tokens: tokensFromWire(told.GetPromptTokens())},
	}
	answer.decision.Engine = &answer.chosen.Candidate
	return answer, true
}

// mostTokens bounds the counts that datagrams tell: sums of them stay far from an overflow.
const mostTokens = 1 << 30

func tokensOf(told uint32) int { return int(min(told, mostTokens)) }

// microseconds is a duration in a datagram, in which none is negative.
func microseconds(duration time.Duration) uint64 { return uint64(max(duration.Microseconds(), 0)) }

// fromMicroseconds is the reverse of microseconds, within an hour.
func fromMicroseconds(told uint64) time.Duration {
	return time.Duration(min(told, uint64(time.Hour.Microseconds()), math.MaxInt64)) * time.Microsecond
}
