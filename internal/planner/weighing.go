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
	// mostMoves bounds the changes between the present split and a target.
	mostMoves = 6
	// shortlist is how many targets, best under the mean demand, are weighed in full.
	shortlist = 12
	// leastGain is the least gain as a share of the worth that arrives over the
	// horizon: less is within the model's error.
	leastGain = 0.01
	// servedShare is the share of the arriving worth from which on nothing is sought.
	servedShare = 0.998
)

// weighing is what one decision weighs its targets against.
type weighing struct {
	observation Observation
	model       Model
	weighted    []weightedDemand
	mean        []KindDemand
	correction  correction
	split       Split
	horizon     time.Duration
	outage      float64 // seconds that one change takes an engine out
	// arriving and stay are the worth per second that arrives, and that is completed
	// when nothing changes.
	arriving float64
	stay     float64
}

func newWeighing(observation Observation, history *history) *weighing {
	w := &weighing{
		observation: observation, model: NewModel(observation.Profile), horizon: horizonOf(observation.Policy),
		split: committedSplit(observation.Engines),
	}
	w.weighted = history.demands(observation.Now, observation.Kinds, w.horizon)
	w.mean = meanOf(w.weighted)
	w.outage = outage(observation, w.mean)
	for _, demand := range w.mean {
		w.arriving += demand.ArrivalsPerSecond * demand.Worth
	}
	w.learn(history)
	w.correction = history.correction
	w.stay = w.rate(w.split)
	return w
}

// learn compares what the present split served of the past demand with the model.
func (w *weighing) learn(history *history) {
	arriving, lost, modelled := 0.0, 0.0, 0.0
	for _, each := range w.weighted {
		if each.forecast {
			continue
		}
		modelled += each.weight * w.model.Goodput(w.split, each.demands)
		lost += each.weight * each.lost
		for _, demand := range each.demands {
			arriving += each.weight * demand.ArrivalsPerSecond * demand.Worth
		}
	}
	history.correction.observe(arriving, lost, modelled, history.elapsed)
}

// rate is the worth per second that a split completes under the weighted demands, by
// the model and what has been learned of its error.
func (w *weighing) rate(split Split) float64 {
	return w.correction.apply(w.modelRate(split), w.arriving)
}

func (w *weighing) modelRate(split Split) float64 {
	total := 0.0
	for _, each := range w.weighted {
		total += each.weight * w.model.Goodput(split, each.demands)
	}
	return total
}

// target is a split to go to and what going there is worth over the horizon.
type target struct {
	split Split
	moves int
	rate  float64
	gain  float64
}

// decide picks the best target and makes the first changes towards it.
func (w *weighing) decide() Decision {
	if w.stay >= servedShare*w.arriving {
		return hold("no change pays back: all that arrives is served, %s", w.describe())
	}
	allowed, forbidden := w.reachable()
	best, found := w.bestTarget(allowed)
	if found && w.pays(best) {
		return w.firstChanges(best)
	}
	if better, exists := w.bestTarget(forbidden); exists && w.pays(better) {
		return hold("%s would pay back, but the bounds forbid it, %s", better.split, w.describe())
	}
	if !found {
		return hold("no change pays back: the budget leaves none, %s", w.describe())
	}
	return hold("no change pays back: the best, to %s, would bring %.1f of worth over %s; %.1f is the least, %s",
		best.split, best.gain, w.horizon, w.leastGain(), w.describe())
}

// leastGain is the gain from which on a target is worth its changes.
func (w *weighing) leastGain() float64 { return leastGain * w.arriving * seconds(w.horizon) }

func (w *weighing) pays(candidate target) bool { return candidate.gain > w.leastGain() }

// bestTarget weighs splits and returns the one with the largest gain.
func (w *weighing) bestTarget(splits []Split) (target, bool) {
	var targets []target
	for _, split := range splits {
		targets = append(targets, target{split: split, moves: w.split.ChangesTo(split), rate: w.model.Goodput(split, w.mean)})
	}
	slices.SortStableFunc(targets, func(a, b target) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.moves, b.moves))
	})
	var best target
	for i, candidate := range targets[:min(len(targets), shortlist)] {
		candidate.rate = w.rate(candidate.split)
		candidate.gain = w.gain(candidate)
		if i == 0 || candidate.gain > best.gain {
			best = candidate
		}
	}
	return best, len(targets) > 0
}

// reachable lists the splits within mostMoves changes and the budget: those that the
// bounds allow and those they forbid.
func (w *weighing) reachable() (allowed, forbidden []Split) {
	most := mostMoves
	if budget := w.observation.Policy.ChangesPerHour; budget > 0 {
		most = min(most, budget-changesInBudgetWindow(w.observation))
	}
	total := w.split.Total()
	for prefill := max(w.split.Prefill-most, 0); prefill <= min(w.split.Prefill+most, total); prefill++ {
		for decode := max(w.split.Decode-most, 0); decode <= min(w.split.Decode+most, total-prefill); decode++ {
			split := Split{Prefill: prefill, Decode: decode, Mixed: total - prefill - decode}
			moves := w.split.ChangesTo(split)
			switch {
			case moves == 0 || moves > most:
			case w.allowed(split):
				allowed = append(allowed, split)
			default:
				forbidden = append(forbidden, split)
			}
		}
	}
	return allowed, forbidden
}

// allowed reports whether the bounds over all zones permit a split.
func (w *weighing) allowed(split Split) bool {
	for _, bound := range w.observation.Bounds {
		count := split.Count(bound.Role)
		if bound.Zone == "" && (count < bound.Minimum || (bound.Maximum > 0 && count > bound.Maximum)) {
			return false
		}
	}
	return true
}

// gain is the worth that going to a target adds over the horizon, after all costs: as
// many engines are out at once as the bounds allow, until all have changed.
func (w *weighing) gain(to target) float64 {
	horizon := seconds(w.horizon)
	out := min(maximumOut(w.observation.Bounds), to.moves)
	during := w.split
	lost := 0.0
	at := 0.0
	for moved := 0; moved < to.moves && at < horizon; moved += out {
		batch := min(out, to.moves-moved)
		step := min(w.outage, horizon-at)
		next := during.towards(to.split, batch)
		lost += (w.stay - w.rate(during.common(next))) * step
		during = next
		at += step
	}
	price := float64(to.moves) * (w.observation.Policy.ChangePrice + w.cacheLoss())
	return (to.rate-w.stay)*(horizon-at) - lost - price
}

// firstChanges turns the first moves towards a target into changes of engines.
func (w *weighing) firstChanges(to target) Decision {
	free := maximumOut(w.observation.Bounds) - countOut(w.observation.Engines)
	decision := Decision{}
	blocked := ""
	observed := w.observation
	for range free {
		from, toRole, differs := committedSplit(observed.Engines).firstMove(to.split)
		if !differs {
			break
		}
		engines, why := candidates(observed, from, toRole)
		if len(engines) == 0 {
			blocked = fmt.Sprintf("%s to %s would pay back, but %s", from, toRole, why)
			break
		}
		change := Change{Engine: engines[0].Name, From: from, To: toRole, Gain: to.gain, Reason: w.reason(engines[0], toRole, to)}
		decision.Changes = append(decision.Changes, change)
		observed = withOrder(observed, change)
	}
	if len(decision.Changes) == 0 {
		return hold("%s, %s", blocked, w.describe())
	}
	decision.Reason = decision.Changes[0].Reason
	return decision
}

func (w *weighing) reason(engine EngineObservation, to enginecontract.Role, chosen target) string {
	return fmt.Sprintf("%s goes from %s to %s: %s brings %.1f of worth a second in place of %.1f, %.1f over %s after all costs (%.1fs out for each of %d changes), %s",
		engine.Name, engine.Role, to, chosen.split, chosen.rate, w.stay, chosen.gain, w.horizon, w.outage, chosen.moves, w.describe())
}

// withOrder is the observation after one more order.
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

// cacheLoss is the worth of one engine's time while its prefix cache is cold.
func (w *weighing) cacheLoss() float64 {
	if w.split.Total() == 0 {
		return 0
	}
	return w.stay / float64(w.split.Total()) * seconds(w.observation.Profile.CacheWarmup) / 2
}

// describe tells the demand in engines and the split that serves it.
func (w *weighing) describe() string {
	reading, writing := 0.0, 0.0
	for _, demand := range w.mean {
		usage := w.model.usageOf(demand)
		reading += demand.ArrivalsPerSecond * usage.prefill
		writing += demand.ArrivalsPerSecond * usage.decode
	}
	return fmt.Sprintf("at a demand of %.1f engines reading and %.1f writing on %s: %.1f of %.1f worth a second",
		reading, writing, w.split, w.stay, math.Max(w.arriving, 0))
}
