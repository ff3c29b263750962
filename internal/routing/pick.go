package routing

import (
	"errors"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// retryAfterNoBackEnd is what a caller is told when only a change of the
// directory can help.
const retryAfterNoBackEnd = 2 * time.Second

// wholeRoles are the roles made for whole requests: mixed engines and, with no
// role, page services.
var wholeRoles = []enginecontract.Role{enginecontract.RoleMixed, ""}

// fallbackRoles can run a whole request when nothing better is left: a decode
// engine reads the prompt itself, slowly and at the cost of its streams.
var fallbackRoles = []enginecontract.Role{enginecontract.RoleDecode}

// part is the choice for one stage.
type part struct {
	candidate *Candidate
	cost      time.Duration
	cached    float64
	asHome    bool
}

// Pick chooses where to send the request. excluded names back ends that have
// already failed it. The error is a *PickError; nothing has been sent then.
func (r *Router) Pick(now time.Duration, request Request, excluded []string) (Choice, error) {
	decision := &Decision{Now: now, Request: &request, Excluded: excluded, router: r}
	decision.prefix = r.prefixes.view(&request)

	choice, err := r.choose(decision)
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

// choose takes the cheaper of one engine and a pair, and falls back to a decode
// engine alone.
func (r *Router) choose(decision *Decision) (Choice, error) {
	whole, wholeErr := r.pickWhole(decision, wholeRoles)
	pairErr := ErrNoBackEnd
	if !decision.Request.WholeOnly {
		var prefill, output part
		prefill, output, pairErr = r.pickPair(decision)
		if pairErr == nil && (wholeErr != nil || prefill.cost+output.cost < whole.cost) {
			return r.chosenPair(decision, prefill, output), nil
		}
	}
	if wholeErr == nil {
		return r.chosenWhole(decision, whole), nil
	}
	fallback, fallbackErr := r.pickWhole(decision, fallbackRoles)
	if fallbackErr == nil {
		return r.chosenWhole(decision, fallback), nil
	}
	return Choice{}, moreTelling(wholeErr, moreTelling(pairErr, fallbackErr))
}

// pickWhole picks a back end for the whole request among the first of the roles
// that has one.
func (r *Router) pickWhole(decision *Decision, roles []enginecontract.Role) (part, error) {
	decision.Stage = StageWhole
	err := ErrNoBackEnd
	for _, role := range roles {
		found, roleErr := r.pickRole(decision, role)
		if roleErr == nil {
			return found, nil
		}
		err = moreTelling(err, roleErr)
	}
	return part{}, err
}

func (r *Router) pickPair(decision *Decision) (prefill, output part, err error) {
	decision.Stage = StagePrefill
	prefill, err = r.pickRole(decision, enginecontract.RolePrefill)
	if err != nil {
		return part{}, part{}, err
	}
	decision.Stage = StageDecode
	decision.PrefillZone = prefill.candidate.Zone
	output, err = r.pickRole(decision, enginecontract.RoleDecode)
	return prefill, output, err
}

// pickRole runs the pipeline over the pool of one role.
func (r *Router) pickRole(decision *Decision, role enginecontract.Role) (part, error) {
	request := decision.Request
	pool, found := r.pools[poolKey{service: request.Service, role: role, model: request.Model, adapter: request.Adapter}]
	if !found {
		return part{}, ErrNoBackEnd
	}
	decision.allowCooling = false
	err := r.filter(decision, pool)
	if errors.Is(err, ErrAllExcluded) {
		decision.allowCooling = true
		err = r.filter(decision, pool)
	}
	if err != nil {
		return part{}, err
	}
	r.prefixes.chooseHome(&decision.prefix, request.PrefixBlocks, r.kept)
	r.estimateLoads(decision.Now)
	r.score(decision)
	chosen := r.scored[r.config.Picker.Pick(decision, r.scored)]
	cached, asHome := decision.cachedTokens(chosen.Candidate)
	return part{candidate: chosen.Candidate, cost: chosen.Cost, cached: cached, asHome: asHome}, nil
}

// filter fills kept with up to SubsetSize members that pass every filter, nearest
// first. It looks beyond the subset only for members that were dropped. When none
// is left, the error is the reason of the last filter that any member reached.
func (r *Router) filter(decision *Decision, pool *pool) error {
	r.kept = r.kept[:0]
	reached := 0
	for _, candidate := range pool.members {
		passed := 0
		for passed < len(r.config.Filters) && r.config.Filters[passed].Keep(decision, candidate) {
			passed++
		}
		if passed < len(r.config.Filters) {
			reached = max(reached, passed)
			continue
		}
		r.kept = append(r.kept, candidate)
		if len(r.kept) == r.config.SubsetSize {
			break
		}
	}
	if len(r.kept) == 0 {
		return r.config.Filters[reached].Reason()
	}
	return nil
}

func (r *Router) score(decision *Decision) {
	r.scored = r.scored[:0]
	for _, candidate := range r.kept {
		var cost time.Duration
		for _, scorer := range r.config.Scorers {
			cost += scorer.Cost(decision, candidate)
		}
		r.scored = append(r.scored, ScoredCandidate{Candidate: candidate, Cost: cost})
	}
}

func (r *Router) chosenWhole(decision *Decision, whole part) Choice {
	output := r.outputTime(decision.Request, whole.candidate)
	return Choice{
		BackEnd:            whole.candidate.BackEnd,
		Expected:           max(whole.cost, 0),
		ExpectedFirstToken: max(whole.cost-output, 0),
		CachedTokens:       int(whole.cached),
		CachedAtHome:       whole.asHome,
	}
}

func (r *Router) chosenPair(decision *Decision, prefill, output part) Choice {
	prefillBackEnd := prefill.candidate.BackEnd
	return Choice{
		BackEnd:            output.candidate.BackEnd,
		Prefill:            &prefillBackEnd,
		Expected:           max(prefill.cost+output.cost, 0),
		ExpectedFirstToken: max(prefill.cost+output.cost-r.outputTime(decision.Request, output.candidate), 0),
		CachedTokens:       int(prefill.cached),
		CachedAtHome:       prefill.asHome,
	}
}

// outputTime is the expected time of writing the output beside what runs there.
func (r *Router) outputTime(request *Request, candidate *Candidate) time.Duration {
	return time.Duration(request.OutputTokens) * r.config.TokenTimes.interval(candidate.load.requests)
}

// moreTelling returns the error of the later filter: it tells more about what
// would help.
func moreTelling(a, b error) error {
	for _, reason := range []error{ErrAllExcluded, ErrAllLimited, ErrAllInBackoff, ErrNoneConfirmed} {
		if errors.Is(a, reason) || errors.Is(b, reason) {
			return reason
		}
	}
	return ErrNoBackEnd
}
