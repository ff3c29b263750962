package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const (
	// maxChanges bounds the changes between the current split and a target.
	maxChanges = 6
	// shortlistSize is the number of targets, the best under the mean demand, that are evaluated in full.
	shortlistSize = 12
	// minGainShare is the smallest gain of a target that pays back, as a share of the worth that arrives over the
	// horizon: a smaller gain is within the model's error.
	minGainShare = 0.01
	// satisfiedShare is the share of the arriving worth that is completed from which on no other split is searched.
	satisfiedShare = 0.998
)

// evaluation holds the inputs by which one decision evaluates its targets.
type evaluation struct {
	observation     Observation
	model           Model
	weightedDemands []weightedDemand
	meanDemands     []KindDemand
	correction      correction
	split           Split
	horizon         time.Duration
	outage          float64 // seconds for which one change makes an engine unavailable
	// arrivingRate is the worth per second that arrives, stayRate the worth per second that is completed without a
	// change.
	arrivingRate float64
	stayRate     float64
}

func newEvaluation(observation Observation, history *history) *evaluation {
	e := &evaluation{
		observation: observation, model: NewModel(observation.Profile), horizon: horizonOf(observation.Policy),
		split: committedSplit(observation.Engines),
	}
	e.weightedDemands = history.demands(observation.Now, observation.Kinds, e.horizon)
	e.meanDemands = meanDemand(e.weightedDemands)
	e.outage = estimateOutage(observation, e.meanDemands)
	for _, demand := range e.meanDemands {
		e.arrivingRate += demand.ArrivalsPerSecond * demand.Worth
	}
	e.updateCorrection(history)
	e.correction = history.correction
	e.stayRate = e.rate(e.split)
	return e
}

// updateCorrection compares the worth that the current split completed of the past demand with the model's prediction.
func (e *evaluation) updateCorrection(history *history) {
	arriving, lost, modelled := 0.0, 0.0, 0.0
	for _, entry := range e.weightedDemands {
		if entry.forecast {
			continue
		}
		modelled += entry.weight * e.model.Goodput(e.split, entry.demands)
		lost += entry.weight * entry.lost
		for _, demand := range entry.demands {
			arriving += entry.weight * demand.ArrivalsPerSecond * demand.Worth
		}
	}
	history.correction.observe(arriving, lost, modelled, history.elapsed)
}

// rate returns the worth per second that a split completes under the weighted demands, by the corrected model.
func (e *evaluation) rate(split Split) float64 {
	return e.correction.apply(e.modelRate(split), e.arrivingRate)
}

func (e *evaluation) modelRate(split Split) float64 {
	total := 0.0
	for _, entry := range e.weightedDemands {
		total += entry.weight * e.model.Goodput(split, entry.demands)
	}
	return total
}

// target is a split to change to and the gain expected from it over the horizon.
type target struct {
	split   Split
	changes int
	rate    float64
	gain    float64
}

// decide returns the first changes towards the best target, or no changes and the reason if no target pays back.
func (e *evaluation) decide() Decision {
	if e.stayRate >= satisfiedShare*e.arrivingRate {
		return noChange("no change pays back: all that arrives is served, %s", e.describe())
	}
	allowed, forbidden := e.reachableSplits()
	best, found := e.bestTarget(allowed)
	if found && e.paysBack(best) {
		return e.firstChanges(best)
	}
	if better, exists := e.bestTarget(forbidden); exists && e.paysBack(better) {
		return noChange("%s would pay back, but the bounds forbid it, %s", better.split, e.describe())
	}
	if !found {
		return noChange("no change pays back: the budget leaves none, %s", e.describe())
	}
	return noChange("no change pays back: the best, to %s, would bring %.1f of worth over %s; %.1f is the least, %s",
		best.split, best.gain, e.horizon, e.minGain(), e.describe())
}

// minGain returns the gain from which on a target pays back.
func (e *evaluation) minGain() float64 { return minGainShare * e.arrivingRate * seconds(e.horizon) }

func (e *evaluation) paysBack(candidate target) bool { return candidate.gain > e.minGain() }

// bestTarget returns the target with the largest gain among the given splits; false if no splits are given. It computes
// gains only for the shortlistSize splits with the highest goodput at the mean demands.
func (e *evaluation) bestTarget(splits []Split) (target, bool) {
	var targets []target
	for _, split := range splits {
		targets = append(targets, target{split: split, changes: e.split.ChangesTo(split), rate: e.model.Goodput(split, e.meanDemands)})
	}
	slices.SortStableFunc(targets, func(a, b target) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.changes, b.changes))
	})
	var best target
	for i, candidate := range targets[:min(len(targets), shortlistSize)] {
		candidate.rate = e.rate(candidate.split)
		candidate.gain = e.gain(candidate)
		if i == 0 || candidate.gain > best.gain {
			best = candidate
		}
	}
	return best, len(targets) > 0
}

// reachableSplits returns the splits within maxChanges changes and the budget: those that the bounds allow and those
// that they forbid.
func (e *evaluation) reachableSplits() (allowed, forbidden []Split) {
	limit := maxChanges
	if budget := e.observation.Policy.ChangesPerHour; budget > 0 {
		limit = min(limit, budget-changesInBudgetWindow(e.observation))
	}
	total := e.split.Total()
	for prefill := max(e.split.Prefill-limit, 0); prefill <= min(e.split.Prefill+limit, total); prefill++ {
		for decode := max(e.split.Decode-limit, 0); decode <= min(e.split.Decode+limit, total-prefill); decode++ {
			split := Split{Prefill: prefill, Decode: decode, Mixed: total - prefill - decode}
			changes := e.split.ChangesTo(split)
			switch {
			case changes == 0 || changes > limit:
			case e.isAllowed(split):
				allowed = append(allowed, split)
			default:
				forbidden = append(forbidden, split)
			}
		}
	}
	return allowed, forbidden
}

// isAllowed reports whether the bounds over all zones permit a split.
func (e *evaluation) isAllowed(split Split) bool {
	for _, bound := range e.observation.Bounds {
		count := split.Count(bound.Role)
		if bound.Zone == "" && (count < bound.Minimum || (bound.Maximum > 0 && count > bound.Maximum)) {
			return false
		}
	}
	return true
}

// gain returns the worth that changing to a target adds over the horizon, after all costs. As many engines are
// unavailable at once as the bounds allow, until all have changed.
func (e *evaluation) gain(to target) float64 {
	horizon := seconds(e.horizon)
	out := min(maxUnavailable(e.observation.Bounds), to.changes)
	during := e.split
	lost := 0.0
	at := 0.0
	for changed := 0; changed < to.changes && at < horizon; changed += out {
		batch := min(out, to.changes-changed)
		step := min(e.outage, horizon-at)
		next := during.towards(to.split, batch)
		lost += (e.stayRate - e.rate(during.overlap(next))) * step
		during = next
		at += step
	}
	price := float64(to.changes) * (e.observation.Policy.ChangePrice + e.cacheLoss())
	return (to.rate-e.stayRate)*(horizon-at) - lost - price
}

// firstChanges returns the first changes of engines towards a target.
func (e *evaluation) firstChanges(to target) Decision {
	free := maxUnavailable(e.observation.Bounds) - countUnavailable(e.observation.Engines)
	decision := Decision{}
	blockedReason := ""
	observed := e.observation
	for range free {
		from, toRole, differs := committedSplit(observed.Engines).largestMismatch(to.split)
		if !differs {
			break
		}
		engines, blocker := changeCandidates(observed, from, toRole)
		if len(engines) == 0 {
			blockedReason = fmt.Sprintf("%s to %s would pay back, but %s", from, toRole, blocker)
			break
		}
		change := Change{Engine: engines[0].Name, From: from, To: toRole, Gain: to.gain, Reason: e.reason(engines[0], toRole, to)}
		decision.Changes = append(decision.Changes, change)
		observed = withOrder(observed, change)
	}
	if len(decision.Changes) == 0 {
		return noChange("%s, %s", blockedReason, e.describe())
	}
	decision.Reason = decision.Changes[0].Reason
	return decision
}

func (e *evaluation) reason(engine EngineObservation, to enginecontract.Role, chosen target) string {
	return fmt.Sprintf("%s goes from %s to %s: %s brings %.1f of worth a second in place of %.1f, %.1f over %s after all costs (%.1fs out for each of %d changes), %s",
		engine.Name, engine.Role, to, chosen.split, chosen.rate, e.stayRate, chosen.gain, e.horizon, e.outage, chosen.changes, e.describe())
}

// withOrder returns a copy of the observation in which the change has been ordered.
func withOrder(observation Observation, change Change) Observation {
	observation.Engines = slices.Clone(observation.Engines)
	for i := range observation.Engines {
		if observation.Engines[i].Name == change.Engine {
			observation.Engines[i].OrderOutstanding = true
			observation.Engines[i].TargetRole = change.To
		}
	}
	return observation
}

// cacheLoss returns the worth lost while the prefix cache of one changed engine warms up: half of what the engine
// completes in that time.
func (e *evaluation) cacheLoss() float64 {
	if e.split.Total() == 0 {
		return 0
	}
	return e.stayRate / float64(e.split.Total()) * seconds(e.observation.Profile.CacheWarmup) / 2
}

// describe returns the demand in engines and the worth that the current split completes, as text.
func (e *evaluation) describe() string {
	prefill, decode := 0.0, 0.0
	for _, demand := range e.meanDemands {
		usage := e.model.usageOf(demand)
		prefill += demand.ArrivalsPerSecond * usage.prefill
		decode += demand.ArrivalsPerSecond * usage.decode
	}
	return fmt.Sprintf("at a demand of %.1f engines reading and %.1f writing on %s: %.1f of %.1f worth a second",
		prefill, decode, e.split, e.stayRate, math.Max(e.arrivingRate, 0))
}
