package relay

import (
	"math"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// maxQueryBlocks limits how many of the prompt's blocks a query contains. Further blocks are most likely not shared, and need
// a prefill on any engine.
const maxQueryBlocks = 32

// wirePurposes maps purposes to their values in datagrams.
var wirePurposes = map[purpose]v1.PlacementPurpose{
	purposeBegin:    v1.PlacementPurpose_PLACEMENT_PURPOSE_BEGIN,
	purposePrefill:  v1.PlacementPurpose_PLACEMENT_PURPOSE_READ,
	purposeDecode:   v1.PlacementPurpose_PLACEMENT_PURPOSE_GENERATE,
	purposeTakeOver: v1.PlacementPurpose_PLACEMENT_PURPOSE_TAKE_OVER,
}

// purposeFromWire is the reverse of wirePurposes; for an unknown value it returns purposeDecode.
func purposeFromWire(wirePurpose v1.PlacementPurpose) purpose {
	for known, name := range wirePurposes {
		if name == wirePurpose {
			return known
		}
	}
	return purposeDecode
}

// wireActions maps actions to their values in datagrams.
var wireActions = map[placement.Action]v1.PlacementAction{
	placement.Unplaced:              v1.PlacementAction_PLACEMENT_ACTION_UNPLACED,
	placement.PrefillOnDecodeEngine: v1.PlacementAction_PLACEMENT_ACTION_READ_DIRECTLY,
	placement.PrefillSeparately:     v1.PlacementAction_PLACEMENT_ACTION_READ_APART,
	placement.AwaitSharedPrefill:    v1.PlacementAction_PLACEMENT_ACTION_WAIT,
	placement.Refuse:                v1.PlacementAction_PLACEMENT_ACTION_REFUSE,
}

// actionFromWire is the reverse of wireActions; for an unknown value it returns placement.Unplaced.
func actionFromWire(wireAction v1.PlacementAction) placement.Action {
	for known, name := range wireActions {
		if name == wireAction {
			return known
		}
	}
	return placement.Unplaced
}

// queryToWire encodes a query to the owner of a cell.
func queryToWire(query *engineQuery, relay, number, cell uint64) *v1.PlacementRequest {
	criteria := query.request
	result := &v1.PlacementRequest{
		Relay: relay, Number: number, Purpose: wirePurposes[query.purpose], Service: query.service, Cell: cell, Zone: criteria.Zone,
		Rank: uint32(max(criteria.Rank.First, 0)), RankSteps: uint32(max(criteria.Rank.Steps, 0)), TargetUs: microseconds(criteria.Target), GapUs: microseconds(criteria.Gap), Stride: uint32(max(criteria.Stride, 0)),
		Tokens: uint32(max(criteria.Tokens, 0)), TokenMoveNs: uint64(max(criteria.TokenTransferTime, 0)), ResidenceUs: microseconds(criteria.SlotHoldTime),
		TimeLeftUs: microseconds(criteria.TimeLeft), MayHaveRun: criteria.MayHaveRun, Excluded: query.excluded, Software: uint64(query.version),
	}
	result.Formats = formats.Supported().ToWire()
	result.Parts, result.PartTokens = blocksToWire(criteria.Prompt[:min(len(criteria.Prompt), maxQueryBlocks)])
	if query.holder != nil {
		result.Holder, result.HolderTokens = query.holder.engine.hash, uint32(max(query.holder.tokens, 0))
	}
	return result
}

// queryFromWire is the reverse of queryToWire. It only bounds the numbers, since the answer does not bind the querying relay.
func queryFromWire(request *v1.PlacementRequest, view *view) *engineQuery {
	query := &engineQuery{
		purpose: purposeFromWire(request.GetPurpose()), service: request.GetService(), excluded: request.GetExcluded(),
		version:        streamorigin.Version(request.GetSoftware()),
		withoutPermits: !formats.FromWire(request.GetFormats()).Supports(formats.RelayPermits),
		request: placement.Request{
			Stage: serving.StageDecode, Zone: request.GetZone(), Rank: rankFromWire(request),
			Target: fromMicroseconds(request.GetTargetUs()), Gap: fromMicroseconds(request.GetGapUs()), Stride: countFromWire(request.GetStride()),
			Prompt: blocksFromWire(request.GetParts(), request.GetPartTokens()), Tokens: countFromWire(request.GetTokens()),
			TokenTransferTime: time.Duration(min(request.GetTokenMoveNs(), uint64(time.Second))), SlotHoldTime: fromMicroseconds(request.GetResidenceUs()),
			TimeLeft: fromMicroseconds(request.GetTimeLeftUs()), MayHaveRun: request.GetMayHaveRun(),
		},
	}
	if holder := view.byHash[request.GetHolder()]; holder != nil {
		query.holder = &prefixHolder{engine: holder, tokens: countFromWire(request.GetHolderTokens())}
	}
	return query
}

// rankFromWire decodes the rank of a request within its bounds.
func rankFromWire(request *v1.PlacementRequest) placement.Rank {
	return placement.Rank{
		First: int(min(request.GetRank(), placement.RankCount-1)),
		Steps: int(min(max(request.GetRankSteps(), 1), placement.MaxRankSteps)),
	}
}

// unknownCellAnswer returns the answer to a query about a cell that this relay does not know.
func unknownCellAnswer(request *v1.PlacementRequest) *v1.PlacementAnswer {
	return &v1.PlacementAnswer{
		Relay: request.GetRelay(), Number: request.GetNumber(),
		Action: v1.PlacementAction_PLACEMENT_ACTION_UNPLACED, Reason: uint32(placement.ReasonNoEngine), UnknownCell: true,
	}
}

// answerToWire encodes an owner's answer to a query.
func answerToWire(request *v1.PlacementRequest, result engineAnswer) *v1.PlacementAnswer {
	answer := &v1.PlacementAnswer{
		Relay: request.GetRelay(), Number: request.GetNumber(), Action: wireActions[result.decision.Action],
		Reason: uint32(result.decision.Reason), RetryAfterUs: microseconds(result.decision.RetryAfter),
		DecodeShort: result.decision.OverloadedStage == serving.StageDecode,
	}
	if holder := result.holder; holder != nil {
		answer.Holder, answer.HolderTokens = holder.engine.hash, uint32(max(holder.tokens, 0))
	}
	selection := result.selection
	if selection == nil {
		return answer
	}
	answer.Engine, answer.ToRead, answer.Effort = selection.backEnd.hash, uint32(max(selection.PrefillTokens, 0)), uint32(max(selection.EffectiveTokens, 0))
	answer.Unusable, answer.WaitingUs = uint32(max(selection.PendingTokens, 0)), microseconds(selection.QueueDelay)
	answer.Pause = uint32(selection.Pause)
	answer.CostUs = microseconds(time.Duration(selection.Cost * float64(time.Second)))
	answer.Prompts, answer.Streams = uint32(max(selection.queuedWork.Prefills, 0)), uint32(max(selection.queuedWork.Streams, 0))
	answer.PromptTokens, answer.TokenNs = tokensToWire(selection.queuedWork), uint64(max(selection.timePerToken, 0))
	if selection.fetchFrom != nil {
		answer.FetchFrom = selection.fetchFrom.hash
	}
	return answer
}

// answerFromWire is the reverse of answerToWire. It returns false when the owner does not know the cell, and when the
// selected engine is not listed here, is unavailable or is excluded.
func answerFromWire(wireAnswer *v1.PlacementAnswer, view *view, excludes func(*backEnd) bool, now time.Duration) (engineAnswer, bool) {
	if wireAnswer.GetUnknownCell() {
		return engineAnswer{}, false
	}
	answer := engineAnswer{decision: placement.Decision{
		Action: actionFromWire(wireAnswer.GetAction()), Reason: placement.Reason(wireAnswer.GetReason()),
		RetryAfter: fromMicroseconds(wireAnswer.GetRetryAfterUs()), OverloadedStage: serving.StagePrefill,
	}}
	if wireAnswer.GetDecodeShort() {
		answer.decision.OverloadedStage = serving.StageDecode
	}
	if holder := view.byHash[wireAnswer.GetHolder()]; holder != nil {
		answer.holder = &prefixHolder{engine: holder, tokens: countFromWire(wireAnswer.GetHolderTokens())}
	}
	if answer.decision.Action == placement.Unplaced {
		return answer, true
	}
	engine := view.byHash[wireAnswer.GetEngine()]
	if engine == nil || engine.isUnavailable(now) || excludes(engine) {
		return engineAnswer{}, false
	}
	answer.selection = &backEndSelection{
		backEnd: engine, fetchFrom: view.byHash[wireAnswer.GetFetchFrom()], timePerToken: time.Duration(min(wireAnswer.GetTokenNs(), uint64(time.Second))),
		Candidate: placement.Candidate{
			Index: placement.None, FetchFrom: placement.None, PrefillTokens: countFromWire(wireAnswer.GetToRead()), EffectiveTokens: countFromWire(wireAnswer.GetEffort()),
			PendingTokens: countFromWire(wireAnswer.GetUnusable()), QueueDelay: fromMicroseconds(wireAnswer.GetWaitingUs()),
			Cost: fromMicroseconds(wireAnswer.GetCostUs()).Seconds(), Pause: placement.PauseForecast(min(wireAnswer.GetPause(), uint32(placement.PauseBroken))),
		},
		queuedWork: placement.Work{Prefills: countFromWire(wireAnswer.GetPrompts()), Streams: countFromWire(wireAnswer.GetStreams()), Tokens: tokensFromWire(wireAnswer.GetPromptTokens())},
	}
	answer.decision.Engine = &answer.selection.Candidate
	return answer, true
}

// maxWireCount bounds the counts in datagrams, so that their sums cannot overflow.
const maxWireCount = 1 << 30

func countFromWire(count uint32) int { return int(min(count, maxWireCount)) }

// microseconds encodes a duration for a datagram; a negative one becomes 0.
func microseconds(duration time.Duration) uint64 { return uint64(max(duration.Microseconds(), 0)) }

// fromMicroseconds is the reverse of microseconds, bounded to one hour.
func fromMicroseconds(wireDuration uint64) time.Duration {
	return time.Duration(min(wireDuration, uint64(time.Hour.Microseconds()), math.MaxInt64)) * time.Microsecond
}
