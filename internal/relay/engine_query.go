package relay

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// purpose is what an engine is wanted for.
type purpose int

// Purposes.
const (
	// purposeBegin wants an engine that reads a prompt first, or one that reads it and generates.
	purposeBegin purpose = iota
	// purposePrefill wants one for a prompt whose first reading has failed.
	purposePrefill
	// purposeDecode wants one that generates.
	purposeDecode
	// purposeTakeOver wants one with a free slot for a run that moves.
	purposeTakeOver
)

// engineQuery is the question where a request should run.
type engineQuery struct {
	purpose purpose
	service string
	request placement.Request
	// excluded are the engines that must not be taken, by their hashes.
	excluded []uint64
	// withoutPermits: the asking relay would send to an engine that names a limit without a permit.
	withoutPermits bool
	// hasPermit tells that a permit for the run was taken already.
	hasPermit bool
	// holder is the engine of another cell that keeps the beginning of the prompt; nil for none.
	holder *prefixHolder
}

// prefixHolder is an engine that keeps the beginning of a prompt for any request.
type prefixHolder struct {
	engine *backEnd
	tokens int
}

// excludes reports whether an engine must not be taken.
func (q *engineQuery) excludes(engine *backEnd) bool {
	return slices.Contains(q.excluded, engine.hash) || q.withoutPermits && engine.hasLimit()
}

// newEngineQuery asks for an engine for a request that has tried some. What engines have asked of this relay the
// owner does not know.
func newEngineQuery(purpose purpose, attempts *attemptTracker, wanted placement.Request) *engineQuery {
	query := &engineQuery{purpose: purpose, service: attempts.request.service.Name, request: wanted}
	for _, engine := range attempts.excluded {
		query.excluded = append(query.excluded, engine.hash)
	}
	for _, engine := range attempts.relay.view.Load().byService[query.service] {
		if len(query.excluded) >= maxExcluded {
			break // the answer is looked at again: one that rests is not taken
		}
		if engine.signals.IsLeaving() && !engine.Leaving || engine.sendDelay(wanted.Now) > 0 {
			query.excluded = append(query.excluded, engine.hash)
		}
	}
	return query
}

// maxExcluded bounds the engines that a question excludes, 8 to 10 bytes each in its datagram.
const maxExcluded = 32

// decideAmong decides by what is known of the engines.
func (q *engineQuery) decideAmong(policy placement.Parameters, candidates candidateSet, draw func() float64) placement.Decision {
	switch q.purpose {
	case purposeBegin:
		return policy.PlacePrefill(q.request, candidates.engines, draw)
	case purposePrefill:
		return decisionFor(placement.PrefillSeparately, policy.PickPrefillEngine(q.request, candidates.engines, draw))
	case purposeTakeOver:
		return decisionFor(placement.PrefillOnDecodeEngine, policy.PickMigrationTarget(q.request, candidates.engines, draw))
	default:
		return decisionFor(placement.PrefillOnDecodeEngine, policy.PickBackEnd(q.request, candidates.engines, draw))
	}
}

// decisionFor is the decision for an engine, or for none.
func decisionFor(action placement.Action, chosen *placement.Candidate) placement.Decision {
	if chosen == nil {
		return placement.Decision{Action: placement.Unplaced, Reason: placement.ReasonNoEngine}
	}
	return placement.Decision{Action: action, Engine: chosen}
}

// workOf is the work that a decision gives its engine.
func (q *engineQuery) workOf(policy placement.Parameters, decision placement.Decision) placement.Work {
	if decision.Action == placement.PrefillSeparately {
		return prefillWork(policy, q.request.Rank, decision.Engine)
	}
	work := placement.Work{Streams: 1}
	if q.request.Tokens > 0 {
		work = work.Plus(placement.PrefillWork(decision.Engine.EffectiveTokens, q.request.Rank.First))
	}
	return work
}

// prefillWork is the work of a prompt that is read apart.
func prefillWork(policy placement.Parameters, rank placement.Rank, engine *placement.Candidate) placement.Work {
	return placement.PrefillWork(engine.EffectiveTokens, policy.PrefillRank(rank, engine.PrefillTokens)).Plus(placement.Work{Prefills: 1})
}

// engineAnswer is a decision with what stands behind it.
type engineAnswer struct {
	decision placement.Decision
	// chosen is the engine that was decided on, nil for none.
	chosen *selection
	// holder is the engine of the cell that keeps most of the prompt, nil for none.
	holder *prefixHolder
	// isDecidedHere tells that neither the owner of the engines nor its stand-in answered, and this relay decided.
	isDecidedHere bool
}

// reason tells why the decision is what it is.
func (a *engineAnswer) reason() string {
	if a.isDecidedHere {
		return string(missingOwner) + ": " + a.decision.Reason.String()
	}
	return a.decision.Reason.String()
}

// assignment is an owner's answer that gave an engine work.
type assignment struct {
	owner  string
	number uint64
}

// selection is a back end that was picked, with what picking it means.
type selection struct {
	placement.Candidate
	backEnd *backEnd
	// fetchFrom is the engine from which it takes the beginning of the prompt, nil for none.
	fetchFrom *backEnd
	// queuedWork is the work of all relays there when it was picked, as far as was known, and
	// perToken its time for one token of a prompt.
	queuedWork   placement.Work
	timePerToken time.Duration
	// assignment names the owner's answer; zero where this relay decided.
	assignment assignment
	// permittedAt is when a permit was taken for it, 0 for never; owed tells that the run must go on there.
	permittedAt time.Duration
	isOwed      bool
}

// selectionFor is a place for a back end that was not weighed.
func selectionFor(backEnd *backEnd) *selection {
	return &selection{backEnd: backEnd, Candidate: placement.Candidate{FetchFrom: placement.None}}
}
