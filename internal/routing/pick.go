package routing

import (
	"errors"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// retryAfterNoBackEnd is the retry time for callers if only a change of the directory can help.
const retryAfterNoBackEnd = 2 * time.Second

// wholeRoles are the roles for whole requests: mixed engines and, without a role, page services.
var wholeRoles = []enginecontract.Role{enginecontract.RoleMixed, ""}

// fallbackRoles can run a whole request if nothing better is left: a decode engine can prefill the prompt itself,
// but slowly and at the cost of its streams.
var fallbackRoles = []enginecontract.Role{enginecontract.RoleDecode}

// stageChoice is the back end chosen for one stage.
type stageChoice struct {
	candidate    *Candidate
	cost         time.Duration
	cachedTokens float64
	cachedAtHome bool
}

// Pick chooses where to send the request. excluded names back ends that have already failed it. The error is a
// *PickError, in which case nothing has been sent.
func (r *Router) Pick(now time.Duration, request Request, excluded []string) (Choice, error) {
	decision := &Decision{Now: now, Request: &request, Excluded: excluded, router: r}
	decision.prefix = r.prefixIndex.match(&request)

	choice, err := r.chooseStages(decision)
	if errors.Is(err, ErrAllInBackoff) || errors.Is(err, ErrAllLimited) {
		return Choice{}, &PickError{Reason: err, Service: request.Service, RetryAfter: r.shortestWait(now, request.Service)}
	}
	if err != nil {
		return Choice{}, &PickError{Reason: err, Service: request.Service, RetryAfter: retryAfterNoBackEnd}
	}
	if request.Deadline != 0 && now+choice.Expected > request.Deadline {
		late := now + choice.Expected - request.Deadline
		return Choice{}, &PickError{Reason: ErrInfeasible, Service: request.Service, RetryAfter: late}
	}
	return choice, nil
}

// chooseStages returns the cheaper of a back end for the whole request and a prefill engine with a decode engine. If
// neither is available, it returns a decode engine that does everything.
func (r *Router) chooseStages(decision *Decision) (Choice, error) {
	whole, wholeErr := r.pickWhole(decision, wholeRoles)
	pairErr := ErrNoBackEnd
	if !decision.Request.WholeOnly {
		var prefill, decode stageChoice
		prefill, decode, pairErr = r.pickPair(decision)
		if pairErr == nil && (wholeErr != nil || prefill.cost+decode.cost < whole.cost) {
			return r.pairChoice(decision, prefill, decode), nil
		}
	}
	if wholeErr == nil {
		return r.wholeChoice(decision, whole), nil
	}
	fallback, fallbackErr := r.pickWhole(decision, fallbackRoles)
	if fallbackErr == nil {
		return r.wholeChoice(decision, fallback), nil
	}
	return Choice{}, laterReason(wholeErr, laterReason(pairErr, fallbackErr))
}

// pickWhole picks a back end for the whole request from the first of the roles that has one.
func (r *Router) pickWhole(decision *Decision, roles []enginecontract.Role) (stageChoice, error) {
	decision.Stage = StageWhole
	err := ErrNoBackEnd
	for _, role := range roles {
		choice, roleErr := r.pickRole(decision, role)
		if roleErr == nil {
			return choice, nil
		}
		err = laterReason(err, roleErr)
	}
	return stageChoice{}, err
}

func (r *Router) pickPair(decision *Decision) (prefill, decode stageChoice, err error) {
	decision.Stage = StagePrefill
	prefill, err = r.pickRole(decision, enginecontract.RolePrefill)
	if err != nil {
		return stageChoice{}, stageChoice{}, err
	}
	decision.Stage = StageDecode
	decision.PrefillZone = prefill.candidate.Zone
	decode, err = r.pickRole(decision, enginecontract.RoleDecode)
	return prefill, decode, err
}

// pickRole runs the pipeline over the pool of one role.
func (r *Router) pickRole(decision *Decision, role enginecontract.Role) (stageChoice, error) {
	request := decision.Request
	pool, exists := r.pools[poolKey{service: request.Service, role: role, model: request.Model, adapter: request.Adapter}]
	if !exists {
		return stageChoice{}, ErrNoBackEnd
	}
	decision.allowCooldown = false
	err := r.filter(decision, pool)
	if errors.Is(err, ErrAllExcluded) {
		decision.allowCooldown = true
		err = r.filter(decision, pool)
	}
	if err != nil {
		return stageChoice{}, err
	}
	r.prefixIndex.chooseHome(&decision.prefix, request.PrefixBlocks, r.filtered)
	r.estimateLoads(decision.Now)
	r.score(decision)
	chosen := r.scored[r.config.Picker.Pick(decision, r.scored)]
	cachedTokens, cachedAtHome := decision.cachedTokens(chosen.Candidate)
	return stageChoice{candidate: chosen.Candidate, cost: chosen.Cost, cachedTokens: cachedTokens, cachedAtHome: cachedAtHome}, nil
}

// filter sets r.filtered to up to SubsetSize members that pass every filter, nearest first. It considers members
// beyond the subset only to replace those that were dropped. If none is left, the error is the Reason of the latest
// filter in the pipeline that dropped a member.
func (r *Router) filter(decision *Decision, pool *pool) error {
	r.filtered = r.filtered[:0]
	furthest := 0
	for _, candidate := range pool.members {
		passed := 0
		for passed < len(r.config.Filters) && r.config.Filters[passed].Keep(decision, candidate) {
			passed++
		}
		if passed < len(r.config.Filters) {
			furthest = max(furthest, passed)
			continue
		}
		r.filtered = append(r.filtered, candidate)
		if len(r.filtered) == r.config.SubsetSize {
			break
		}
	}
	if len(r.filtered) == 0 {
		return r.config.Filters[furthest].Reason()
	}
	return nil
}

func (r *Router) score(decision *Decision) {
	r.scored = r.scored[:0]
	for _, candidate := range r.filtered {
		var cost time.Duration
		for _, scorer := range r.config.Scorers {
			cost += scorer.Cost(decision, candidate)
		}
		r.scored = append(r.scored, ScoredCandidate{Candidate: candidate, Cost: cost})
	}
}

func (r *Router) wholeChoice(decision *Decision, whole stageChoice) Choice {
	decodeTime := r.decodeTime(decision.Request, whole.candidate)
	return Choice{
		BackEnd:            whole.candidate.BackEnd,
		Expected:           max(whole.cost, 0),
		ExpectedFirstToken: max(whole.cost-decodeTime, 0),
		CachedTokens:       int(whole.cachedTokens),
		CachedAtHome:       whole.cachedAtHome,
	}
}

func (r *Router) pairChoice(decision *Decision, prefill, decode stageChoice) Choice {
	prefillBackEnd := prefill.candidate.BackEnd
	return Choice{
		BackEnd:            decode.candidate.BackEnd,
		Prefill:            &prefillBackEnd,
		Expected:           max(prefill.cost+decode.cost, 0),
		ExpectedFirstToken: max(prefill.cost+decode.cost-r.decodeTime(decision.Request, decode.candidate), 0),
		CachedTokens:       int(prefill.cachedTokens),
		CachedAtHome:       prefill.cachedAtHome,
	}
}

// decodeTime returns the expected decode time given the load at the candidate.
func (r *Router) decodeTime(request *Request, candidate *Candidate) time.Duration {
	return time.Duration(request.OutputTokens) * r.config.TokenTimes.tokenInterval(candidate.load.requests)
}

// laterReason returns the one of two errors that a later filter gave, since it says more about what would help.
func laterReason(a, b error) error {
	for _, reason := range []error{ErrAllExcluded, ErrAllLimited, ErrAllInBackoff, ErrNoneConfirmed} {
		if errors.Is(a, reason) || errors.Is(b, reason) {
			return reason
		}
	}
	return ErrNoBackEnd
}
