package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Observe takes in what the gateway saw. Observations of back ends that have left
// the directory are ignored.
func (r *Router) Observe(now time.Duration, observation Observation) {
	switch seen := observation.(type) {
	case Dispatch:
		r.observeSent(now, seen)
	case AnswerHeaders:
		r.observeAnswered(now, seen)
	case FirstToken:
		if candidate, known := r.candidates[seen.BackEnd]; known {
			candidate.work.firstToken(now, seen.Exchange)
		}
	case Completion:
		r.observeFinished(now, seen)
	case Failure:
		r.observeFailed(now, seen)
	}
}

func (r *Router) observeSent(now time.Duration, seen Dispatch) {
	candidate, known := r.candidates[seen.BackEnd]
	if !known {
		return
	}
	candidate.work.add(sentWork{exchange: seen.Exchange, at: now, promptTokens: seen.PromptTokens, asHome: seen.CachedAtHome})
	r.prefixes.remember(seen.PrefixBlocks, candidate.node)
}

func (r *Router) observeAnswered(now time.Duration, seen AnswerHeaders) {
	candidate, known := r.candidates[seen.BackEnd]
	if !known || (seen.Incarnation != 0 && seen.Incarnation < candidate.Incarnation) {
		return
	}
	at := now - r.zoneLatency(candidate.Zone) - seen.Age
	sentAt := at
	if seen.Exchange != "" {
		sentAt = candidate.work.sentAt(seen.Exchange)
	}
	if seen.Incarnation > candidate.Incarnation {
		r.restart(candidate, seen.Incarnation)
	}
	candidate.signals.ExtendBackoff(now, seen.Backoff)
	if seen.Limit != nil {
		r.observeLimit(now, sentAt, candidate, *seen.Limit)
	}
	if seen.State == enginecontract.StateLeaving {
		candidate.signals.MarkLeaving(now)
	}
	if seen.Role != "" && seen.Role != candidate.Role {
		r.changeRole(candidate, seen.Role)
	}
	if seen.State != "" {
		candidate.reportState(at, sentAt, seen.State)
	}
	if seen.Load != nil {
		candidate.reportLoad(at, *seen.Load)
	}
}

// changeRole moves a back end to the pools of its new role. Roles change seldom, so
// all pools are built anew.
func (r *Router) changeRole(candidate *Candidate, role enginecontract.Role) {
	candidate.Role = role
	r.pools = make(map[poolKey]*pool)
	for _, each := range r.candidates {
		r.addToPools(each)
	}
	r.sortPools()
}

func (r *Router) observeFinished(now time.Duration, seen Completion) {
	candidate, known := r.candidates[seen.BackEnd]
	if !known {
		return
	}
	if ended, found := candidate.work.finish(now, seen.Exchange, candidate.HasLoad); found {
		candidate.reading.learn(now, ended)
		if ended.asHome && seen.PromptTokens > 0 {
			r.prefixes.homeShare.learn(seen.PromptTokens, seen.CachedTokens)
		}
	}
	candidate.failures = 0
}

func (r *Router) observeFailed(now time.Duration, seen Failure) {
	candidate, known := r.candidates[seen.BackEnd]
	if !known {
		return
	}
	candidate.work.finish(now, seen.Exchange, candidate.HasLoad)
	cooldown := r.config.MaximumCooldown
	if shift := min(candidate.failures, 16); r.config.Cooldown<<shift < cooldown {
		cooldown = r.config.Cooldown << shift
	}
	candidate.failures++
	candidate.avoidUntil = now + cooldown
}
