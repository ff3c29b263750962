package relay

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// survey is what is known of back ends of a service at one moment, for one decision.
type survey struct {
	backEnds []*backEnd
	engines  []placement.Engine
}

// surveyOf looks at back ends that are not excluded. Those that rest are excluded by whoever asks: a back end that has
// asked this relay for rest serves others.
func (r *Relay) surveyOf(backEnds []*backEnd, prompt []placement.PrefixBlock, isExcluded func(*backEnd) bool, now time.Duration) survey {
	seen := survey{backEnds: backEnds, engines: make([]placement.Engine, len(backEnds))}
	for index, backEnd := range backEnds {
		load := backEnd.look(now)
		engine := placement.Engine{
			Hash: backEnd.hash, Zone: backEnd.Zone, Stage: backEnd.Stage, Slots: backEnd.Slots,
			Closed:     backEnd.leaving() || backEnd.Changing || isExcluded(backEnd),
			AvoidUntil: load.avoidUntil, Failures: load.failures + load.suspicions, Running: max(load.own.Streams, load.told),
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

// with adds an engine that takes no work here and from which the beginning of a prompt can be
// taken.
func (s survey) with(holder *promptHolder) survey {
	for index, known := range s.backEnds {
		if known == holder.engine {
			s.engines[index].Cached.Ready = max(s.engines[index].Cached.Ready, holder.tokens)
			return s
		}
	}
	s.backEnds = append(s.backEnds[:len(s.backEnds):len(s.backEnds)], holder.engine)
	s.engines = append(s.engines, placement.Engine{
		Hash: holder.engine.hash, Zone: holder.engine.Zone, Stage: holder.engine.Stage, Closed: true,
		Cached: placement.CachedPrefix{Total: holder.tokens, Ready: holder.tokens},
	})
	return s
}

// holder is the engine that keeps most of the prompt; nil for none.
func (s survey) holder() *promptHolder {
	index, tokens := placement.LongestPrefixHolder(s.engines)
	if index == placement.None {
		return nil
	}
	return &promptHolder{engine: s.backEnds[index], tokens: tokens}
}

// place returns the back end of a candidate; nil for none.
func (s survey) place(candidate *placement.Candidate) *place {
	if candidate == nil {
		return nil
	}
	seen := s.engines[candidate.Index]
	chosen := &place{Candidate: *candidate, backEnd: s.backEnds[candidate.Index], ahead: seen.Work, perToken: seen.PerToken}
	if candidate.FetchFrom != placement.None {
		chosen.fetchFrom = s.backEnds[candidate.FetchFrom]
	}
	return chosen
}

// pickWhole chooses the back end of a service that answers requests whole, or nil when none is left. One that names a
// limit is chosen where it permits the request.
func (r *Relay) pickWhole(request *request, tried *attempts) *place {
	var denied []*backEnd
	for {
		chosen := r.pickAmong(request, func(backEnd *backEnd) bool { return tried.isExcluded(backEnd) || slices.Contains(denied, backEnd) })
		if chosen == nil || r.permitPlace(chosen, request.rank) {
			return chosen
		}
		denied = append(denied, chosen.backEnd)
	}
}

// pickAmong chooses among the back ends that are not excluded. It looks at the newest list: a request may wait long
// between two picks.
func (r *Relay) pickAmong(request *request, isExcluded func(*backEnd) bool) *place {
	now := r.clock.now()
	excluded := func(backEnd *backEnd) bool { return isExcluded(backEnd) || backEnd.wait(now) > 0 }
	seen := r.surveyOf(r.view.Load().byService[request.service.Name], nil, excluded, now)
	limit := idleLimitOf(request.route)
	for index, backEnd := range seen.backEnds {
		seen.engines[index].Connected = backEnd.pool.HasIdle(now, limit)
	}
	wanted := placement.Request{Now: now, Stage: answeringStage(request.service), Zone: r.settings.Zone}
	return seen.place(r.policy.PickBackEnd(wanted, seen.engines, r.draw))
}

// defaultTokenMove is the way of one token where the links are not known.
const defaultTokenMove = 2 * time.Microsecond

// tokenMoveTime is how long the memory of one token is on its way between engines.
func tokenMoveTime(engine *serving.Engine) time.Duration {
	if engine == nil || engine.LinkBytesPerSecond <= 0 {
		return defaultTokenMove
	}
	return time.Duration(float64(engine.TokenBytes) / engine.LinkBytesPerSecond * float64(time.Second))
}
