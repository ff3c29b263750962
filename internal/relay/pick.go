package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// survey is what is known of a service's back ends at one moment, for one decision.
type survey struct {
	backEnds []*backEnd
	engines  []placement.Engine
}

// survey looks at the newest list: a request may wait long between two picks.
func (r *Relay) survey(service string, prompt []placement.Part, tried *attempts, now time.Duration) survey {
	backEnds := r.view.Load().byService[service]
	seen := survey{backEnds: backEnds, engines: make([]placement.Engine, len(backEnds))}
	for index, backEnd := range backEnds {
		load := backEnd.look(now)
		engine := placement.Engine{
			Hash: backEnd.hash, Zone: backEnd.Zone, Stage: backEnd.Stage, Slots: backEnd.Slots,
			Closed:     backEnd.Leaving || backEnd.Changing || tried.isExcluded(backEnd),
			AvoidUntil: load.avoidUntil, Failures: load.failures, Running: max(load.own.Streams, load.told),
		}
		if backEnd.isEngine() {
			engine.Work = r.notices.table.total(now, backEnd, load)
			engine.PerToken = r.pace.of(backEnd.hash)
			engine.Cached = backEnd.cache.cached(prompt, now)
		}
		seen.engines[index] = engine
	}
	return seen
}

// place is a back end that was picked, with what picking it means.
type place struct {
	placement.Candidate
	backEnd *backEnd
	// fetchFrom is the engine from which it takes the beginning of the prompt, nil for none.
	fetchFrom *backEnd
}

// place returns the back end of a candidate; nil for none.
func (s survey) place(candidate *placement.Candidate) *place {
	if candidate == nil {
		return nil
	}
	chosen := &place{Candidate: *candidate, backEnd: s.backEnds[candidate.Index]}
	if candidate.FetchFrom != placement.None {
		chosen.fetchFrom = s.backEnds[candidate.FetchFrom]
	}
	return chosen
}

// pickWhole chooses the back end of a service that answers requests whole, or nil when none is
// left.
func (r *Relay) pickWhole(request *request, tried *attempts) *place {
	now := r.clock.now()
	seen := r.survey(request.service.Name, nil, tried, now)
	wanted := placement.Request{Now: now, Stage: answeringStage(request.service), Zone: r.settings.Zone}
	return seen.place(r.policy.Generator(wanted, seen.engines, r.draw))
}

// defaultTokenMove is the way of one token where the links are not known.
const defaultTokenMove = 2 * time.Microsecond

// tokenMoveTime is how long the memory of one token is on its way between engines.
func tokenMoveTime(engine *serving.Engine) time.Duration {
	if engine == nil || engine.LinkBytes <= 0 {
		return defaultTokenMove
	}
	return time.Duration(float64(engine.TokenBytes) / engine.LinkBytes * float64(time.Second))
}
