package relay

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// candidateSet is a snapshot of the back ends of a service, taken for one decision.
type candidateSet struct {
	backEnds []*backEnd
	engines  []placement.Engine
}

// candidatesOf takes a snapshot of back ends; excluded ones are marked as closed. Back ends in backoff must be excluded by
// the caller: a backoff applies to one relay, and the snapshot may be taken for the request of another relay.
func (r *Relay) candidatesOf(backEnds []*backEnd, prompt []placement.PrefixBlock, isExcluded func(*backEnd) bool, now time.Duration) candidateSet {
	candidates := candidateSet{backEnds: backEnds, engines: make([]placement.Engine, len(backEnds))}
	for index, backEnd := range backEnds {
		load := backEnd.currentLoad(now)
		engine := placement.Engine{
			Hash: backEnd.hash, Zone: backEnd.Zone, Stage: backEnd.Stage, Slots: backEnd.Slots,
			Closed:     backEnd.isClosed() || isExcluded(backEnd),
			AvoidUntil: load.avoidUntil, Failures: load.failures + load.peerFailures, Running: max(load.ownWork.Streams, load.reportedRequests),
		}
		if backEnd.isEngine() {
			engine.Work = r.notices.table.totalWork(now, backEnd, load)
			engine.PerToken = r.prefillSpeed.timePerToken(backEnd.hash)
			r.setSpeed(&engine, backEnd, now)
			engine.Cached = backEnd.cache.lookup(prompt, now)
		}
		candidates.engines[index] = engine
	}
	return candidates
}

// setSpeed sets the speed of an engine, if the engines of its service report it. The prefill time of an engine without
// observed prefills follows from its speed relative to the others.
func (r *Relay) setSpeed(engine *placement.Engine, backEnd *backEnd, now time.Duration) {
	estimate := r.speeds.EstimateOf(now, backEnd.Service, backEnd.hash, engine.Work.Streams+1)
	engine.StepTime, engine.Slowdown, engine.PeakSlowdown = estimate.Step, estimate.Slowdown, estimate.Peak
	if estimate.UsualTime > 0 && !r.prefillSpeed.isObserved(backEnd.hash) {
		engine.PerToken = time.Duration(estimate.UsualTime * float64(r.prefillSpeed.average()))
	}
}

// withHolder adds an engine that accepts no work in this cell but can transfer the prompt's prefix to another engine.
func (c candidateSet) withHolder(holder *prefixHolder) candidateSet {
	for index, known := range c.backEnds {
		if known == holder.engine {
			c.engines[index].Cached.Ready = max(c.engines[index].Cached.Ready, holder.tokens)
			return c
		}
	}
	c.backEnds = append(c.backEnds[:len(c.backEnds):len(c.backEnds)], holder.engine)
	c.engines = append(c.engines, placement.Engine{
		Hash: holder.engine.hash, Zone: holder.engine.Zone, Stage: holder.engine.Stage, Closed: true,
		Cached: placement.CachedPrefix{Total: holder.tokens, Ready: holder.tokens},
	})
	return c
}

// bestHolder returns the engine that has cached the longest prefix of the prompt; nil for none.
func (s candidateSet) bestHolder() *prefixHolder {
	index, tokens := placement.LongestPrefixHolder(s.engines)
	if index == placement.None {
		return nil
	}
	return &prefixHolder{engine: s.backEnds[index], tokens: tokens}
}

// selectionOf returns the back end of a candidate; nil for none.
func (s candidateSet) selectionOf(candidate *placement.Candidate) *backEndSelection {
	if candidate == nil {
		return nil
	}
	engine := s.engines[candidate.Index]
	selection := &backEndSelection{Candidate: *candidate, backEnd: s.backEnds[candidate.Index], queuedWork: engine.Work, timePerToken: engine.PerToken}
	if candidate.FetchFrom != placement.None {
		selection.fetchFrom = s.backEnds[candidate.FetchFrom]
	}
	return selection
}

// pickForPlain selects a back end that answers requests whole; nil when none is left. It selects a back end with a limit
// only when the limit's owner grants a permit for the request.
func (r *Relay) pickForPlain(request *request, attempts *attemptTracker) *backEndSelection {
	var denied []*backEnd
	for {
		selection := r.pickAmong(request, func(backEnd *backEnd) bool { return attempts.isExcluded(backEnd) || slices.Contains(denied, backEnd) })
		if selection == nil || r.acquirePermitFor(selection, request.rank) {
			return selection
		}
		denied = append(denied, selection.backEnd)
	}
}

// pickAmong selects one of the back ends that are not excluded. It uses the newest list, since a request may wait for a
// long time between two attempts.
func (r *Relay) pickAmong(request *request, isExcluded func(*backEnd) bool) *backEndSelection {
	now := r.clock.now()
	excluded := func(backEnd *backEnd) bool { return isExcluded(backEnd) || backEnd.sendDelay(now) > 0 }
	candidates := r.candidatesOf(r.view.Load().byService[request.service.Name], nil, excluded, now)
	limit := idleLimitOf(request.route)
	for index, backEnd := range candidates.backEnds {
		candidates.engines[index].Connected = backEnd.pool.HasIdle(now, limit)
	}
	criteria := placement.Request{Now: now, Stage: answeringStage(request.service), Zone: r.settings.Zone}
	return candidates.selectionOf(r.policy.PickBackEnd(criteria, candidates.engines, r.draw))
}

// defaultTokenTransfer is the transfer time of one token's KV cache when the link's speed is not configured.
const defaultTokenTransfer = 2 * time.Microsecond

// tokenTransferTime returns how long the transfer of one token's KV cache between two engines takes.
func tokenTransferTime(engine *serving.Engine) time.Duration {
	if engine == nil || engine.LinkBytesPerSecond <= 0 {
		return defaultTokenTransfer
	}
	return time.Duration(float64(engine.TokenBytes) / engine.LinkBytesPerSecond * float64(time.Second))
}
