package relay

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// purpose says what an engine is needed for.
type purpose int

// Purposes of placement queries.
const (
	// purposeBegin asks for an engine that prefills the prompt, or that prefills it and decodes.
	purposeBegin purpose = iota
	// purposePrefill asks for an engine that prefills a prompt whose first prefill has failed.
	purposePrefill
	// purposeDecode asks for an engine that decodes.
	purposeDecode
	// purposeTakeOver asks for an engine with a free slot for a run that is migrated.
	purposeTakeOver
)

// engineQuery asks where a request should run.
type engineQuery struct {
	purpose purpose
	service string
	request placement.Request
	// excluded holds the hashes of the engines that must not be selected.
	excluded []uint64
	// version is the software version to which the stream is bound.
	version streamorigin.Version
	// withoutPermits is true if the querying relay would send requests to an engine with a limit without acquiring a permit;
	// engines with a limit are then excluded.
	withoutPermits bool
	// hasPermit is true if a permit for the run was acquired already.
	hasPermit bool
	// holder is the engine of another cell that has cached a prefix of the prompt; nil for none.
	holder *prefixHolder
}

// prefixHolder is an engine that has cached a prefix of the prompt for any request; tokens is the prefix's length.
type prefixHolder struct {
	engine *backEnd
	tokens int
}

// excludes reports whether an engine must not be selected.
func (q *engineQuery) excludes(engine *backEnd) bool {
	return slices.Contains(q.excluded, engine.hash) || q.withoutPermits && engine.hasLimit() || !mayGoOnAt(q.version, engine)
}

// newEngineQuery returns a query for a request. It excludes the engines that were tried, and those that are leaving or must
// not be sent requests now, since the owner does not know the signals that engines have sent to this relay.
func newEngineQuery(purpose purpose, attempts *attemptTracker, criteria placement.Request) *engineQuery {
	query := &engineQuery{purpose: purpose, service: attempts.request.service.Name, request: criteria, version: attempts.binding()}
	for _, engine := range attempts.excluded {
		query.excluded = append(query.excluded, engine.hash)
	}
	for _, engine := range attempts.relay.view.Load().byService[query.service] {
		if len(query.excluded) >= maxExcluded {
			break // the answer is checked again: an engine in backoff is not used
		}
		if engine.signals.IsLeaving() && !engine.Leaving || engine.sendDelay(criteria.Now) > 0 {
			query.excluded = append(query.excluded, engine.hash)
		}
	}
	return query
}

// maxExcluded limits how many engines a query excludes; each takes 8 to 10 bytes of its datagram.
const maxExcluded = 32

// decideAmong returns the placement decision among the candidates according to the query's purpose.
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

// decisionFor returns the decision for a candidate; a nil candidate leaves the request unplaced.
func decisionFor(action placement.Action, candidate *placement.Candidate) placement.Decision {
	if candidate == nil {
		return placement.Decision{Action: placement.Unplaced, Reason: placement.ReasonNoEngine}
	}
	return placement.Decision{Action: action, Engine: candidate}
}

// workOf returns the work that a decision assigns to its engine.
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

// prefillWork returns the work of a prefill on a prefill engine.
func prefillWork(policy placement.Parameters, rank placement.Rank, engine *placement.Candidate) placement.Work {
	return placement.PrefillWork(engine.EffectiveTokens, policy.PrefillRank(rank, engine.PrefillTokens)).Plus(placement.Work{Prefills: 1})
}

// engineAnswer is a placement decision with the engines that it refers to.
type engineAnswer struct {
	decision placement.Decision
	// selection is the selected engine; nil for none.
	selection *backEndSelection
	// holder is the engine of the cell that has cached the longest prefix of the prompt; nil for none.
	holder *prefixHolder
	// isDecidedHere is true if this relay decided because neither the engines' owner nor its deputy answered.
	isDecidedHere bool
}

// reason returns the reason for the decision.
func (a *engineAnswer) reason() string {
	if a.isDecidedHere {
		return string(missingOwner) + ": " + a.decision.Reason.String()
	}
	return a.decision.Reason.String()
}

// assignment identifies an owner's answer that assigned work to an engine.
type assignment struct {
	owner  string
	number uint64
}

// backEndSelection is a selected back end with the data on which the selection was based.
type backEndSelection struct {
	placement.Candidate
	backEnd *backEnd
	// fetchFrom is the engine from which the selected one fetches the prompt's prefix; nil for none.
	fetchFrom *backEnd
	// queuedWork is the known work of all relays at the engine when it was selected; timePerToken is the engine's prefill
	// time per token.
	queuedWork   placement.Work
	timePerToken time.Duration
	// assignment identifies the owner's answer; zero when this relay decided.
	assignment assignment
	// permittedAt is when a permit was acquired for this selection, 0 for none; mustResume is true if the run must continue
	// at this back end.
	permittedAt time.Duration
	mustResume  bool
	// isMigrated is true if a run that has stopped elsewhere continues at the back end.
	isMigrated bool
}

// selectionFor returns the selection of a back end that was not compared with others.
func selectionFor(backEnd *backEnd) *backEndSelection {
	return &backEndSelection{backEnd: backEnd, Candidate: placement.Candidate{FetchFrom: placement.None}}
}
