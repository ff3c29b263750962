package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Observe applies an observation. It ignores observations of back ends that have left the directory.
func (r *Router) Observe(now time.Duration, observation Observation) {
	switch observed := observation.(type) {
	case Dispatch:
		r.observeDispatch(now, observed)
	case AnswerHeaders:
		r.observeAnswerHeaders(now, observed)
	case FirstToken:
		if candidate, known := r.candidates[observed.BackEnd]; known {
			candidate.ownRequests.recordFirstToken(now, observed.Exchange)
		}
	case Completion:
		r.observeCompletion(now, observed)
	case Failure:
		r.observeFailure(now, observed)
	}
}

func (r *Router) observeDispatch(now time.Duration, dispatch Dispatch) {
	candidate, known := r.candidates[dispatch.BackEnd]
	if !known {
		return
	}
	candidate.ownRequests.add(sentRequest{exchange: dispatch.Exchange, at: now, promptTokens: dispatch.PromptTokens, cachedAtHome: dispatch.CachedAtHome})
	r.prefixIndex.record(dispatch.PrefixBlocks, candidate.cacheNode)
}

func (r *Router) observeAnswerHeaders(now time.Duration, headers AnswerHeaders) {
	candidate, known := r.candidates[headers.BackEnd]
	if !known || (headers.Incarnation != 0 && headers.Incarnation < candidate.Incarnation) {
		return
	}
	at := now - r.zoneLatency(candidate.Zone) - headers.Age
	sentAt := at
	if headers.Exchange != "" {
		sentAt = candidate.ownRequests.sentAt(headers.Exchange)
	}
	if headers.Incarnation > candidate.Incarnation {
		r.restart(candidate, headers.Incarnation)
	}
	candidate.signals.ExtendBackoff(now, headers.Backoff)
	if headers.Limit != nil {
		r.observeLimit(now, sentAt, candidate, *headers.Limit)
	}
	if headers.State == enginecontract.StateLeaving {
		candidate.signals.MarkLeaving(now)
	}
	if headers.Role != "" && headers.Role != candidate.Role {
		r.changeRole(candidate, headers.Role)
	}
	if headers.State != "" {
		candidate.reportState(at, sentAt, headers.State)
	}
	if headers.Load != nil {
		candidate.reportLoad(at, *headers.Load)
	}
}

// changeRole moves a back end to the pools of its new role. Roles rarely change, so it rebuilds all pools.
func (r *Router) changeRole(candidate *Candidate, role enginecontract.Role) {
	candidate.Role = role
	r.pools = make(map[poolKey]*pool)
	for _, member := range r.candidates {
		r.addToPools(member)
	}
	r.sortPools()
}

func (r *Router) observeCompletion(now time.Duration, completion Completion) {
	candidate, known := r.candidates[completion.BackEnd]
	if !known {
		return
	}
	if request, found := candidate.ownRequests.finish(now, completion.Exchange, candidate.HasLoad); found {
		candidate.prefillMean.observe(now, request)
		if request.cachedAtHome && completion.PromptTokens > 0 {
			r.prefixIndex.homeHitRate.observe(completion.PromptTokens, completion.CachedTokens)
		}
	}
	candidate.failures = 0
}

func (r *Router) observeFailure(now time.Duration, failure Failure) {
	candidate, known := r.candidates[failure.BackEnd]
	if !known {
		return
	}
	candidate.ownRequests.finish(now, failure.Exchange, candidate.HasLoad)
	cooldown := r.config.MaxCooldown
	if shift := min(candidate.failures, 16); r.config.Cooldown<<shift < cooldown {
		cooldown = r.config.Cooldown << shift
	}
	candidate.failures++
	candidate.cooldownUntil = now + cooldown
}
