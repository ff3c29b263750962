package previousplanner

import (
	"fmt"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// defaultHorizon is how far ahead a change must pay back when no policy says so.
const defaultHorizon = 60 * time.Second

// QueueingPlanner weighs single role changes with a queueing model of the service:
// a change is made when the worth it adds over the horizon, less what its outage,
// its cold cache and the declared price cost, is positive. It remembers smoothed
// demand only. It is not safe for concurrent use.
type QueueingPlanner struct {
	tracker *demandTracker
}

// New returns the planner of one service.
func New() *QueueingPlanner {
	return &QueueingPlanner{tracker: newDemandTracker()}
}

var _ Planner = (*QueueingPlanner)(nil)

// Plan decides the role changes to make now.
func (p *QueueingPlanner) Plan(observation Observation) Decision {
	if staleDemand(observation) {
		return hold("demand reports are missing or older than %s", maximumDemandAge)
	}
	p.tracker.observe(observation.Now, freshDemands(observation))
	if refusal := p.mayNotChange(observation); refusal != nil {
		return *refusal
	}
	return p.best(observation)
}

// mayNotChange tells why no change may be made now, or nil.
func (p *QueueingPlanner) mayNotChange(observation Observation) *Decision {
	decision := Decision{}
	budget := observation.Policy.ChangesPerHour
	limit := maximumOut(observation.Bounds)
	switch {
	case len(observation.Engines) < 2:
		decision = hold("fewer than two engines")
	case 2*countSilent(observation.Engines) > len(observation.Engines):
		decision = hold("reports of most engines are missing or stale")
	case budget > 0 && changesInBudgetWindow(observation) >= budget:
		decision = hold("the budget of %d changes an hour is spent", budget)
	case countOut(observation.Engines) >= limit:
		decision = hold("%d engines are out of service already; the bound is %d", countOut(observation.Engines), limit)
	default:
		return nil
	}
	return &decision
}

// best weighs every single change and returns the most valuable one that pays back.
func (p *QueueingPlanner) best(observation Observation) Decision {
	weighing := newWeighing(observation, p.tracker.current())
	var chosen *Change
	reason := "no change pays back"
	bestLoss := 0.0
	for _, from := range roles {
		for _, to := range roles {
			if from == to {
				continue
			}
			engines, why := candidates(observation, from, to)
			if len(engines) == 0 {
				if weighing.split.Count(from) > 0 && weighing.wants(from, to) {
					reason = fmt.Sprintf("%s to %s would pay back, but %s", from, to, why)
				}
				continue
			}
			change := weighing.change(engines[0], to)
			if change.Gain > 0 && (chosen == nil || change.Gain > chosen.Gain) {
				chosen = &change
			}
			if change.Gain <= 0 && (bestLoss == 0 || change.Gain > bestLoss) {
				bestLoss = change.Gain
			}
		}
	}
	if chosen != nil {
		return Decision{Changes: []Change{*chosen}, Reason: chosen.Reason}
	}
	return hold("%s: the best one would lose %.1f of worth over %s at %s",
		reason, 0-bestLoss, weighing.horizon, weighing.describe())
}

// hold is a decision to change nothing.
func hold(format string, values ...any) Decision {
	return Decision{Reason: fmt.Sprintf(format, values...)}
}

// weighing is what one decision weighs its changes against.
type weighing struct {
	observation Observation
	estimates   []estimate
	load        workload
	model       capacityModel
	split       Split
	horizon     time.Duration
	// stay is the worth per second of changing nothing.
	stay float64
}

func newWeighing(observation Observation, estimates []estimate) weighing {
	horizon := observation.Policy.Horizon
	if horizon <= 0 {
		horizon = defaultHorizon
	}
	result := weighing{
		observation: observation,
		estimates:   estimates,
		load:        buildWorkload(estimates, observation.Kinds, observation.Profile),
		model:       capacityModel{mixedPenalty: observation.Profile.MixedPenalty},
		split:       committedSplit(observation.Engines),
		horizon:     horizon,
	}
	result.stay = result.model.goodput(result.split, result.load)
	return result
}

// wants reports whether the split after a change would be worth more each second.
func (w weighing) wants(from, to enginecontract.Role) bool {
	after := w.split.Add(from, -1).Add(to, 1)
	return w.model.goodput(after, w.load) > w.stay*1.02
}

// change prices one change over the horizon.
func (w weighing) change(engine EngineObservation, to enginecontract.Role) Change {
	during := w.split.Add(engine.Role, -1)
	after := during.Add(to, 1)
	out := outage(engine, w.load, w.observation.Profile)
	horizon := seconds(w.horizon)
	outShare := min(out, horizon)
	duringRate := w.model.goodput(during, w.load)
	afterRate := w.model.goodput(after, w.load)
	gained := (afterRate - w.stay) * (horizon - outShare)
	lost := (w.stay-duringRate)*outShare +
		cacheLoss(to, w.estimates, w.load, after, w.observation.Profile) +
		w.observation.Policy.ChangePrice
	return Change{
		Engine: engine.Name,
		From:   engine.Role,
		To:     to,
		Gain:   gained - lost,
		Reason: fmt.Sprintf("%s goes from %s to %s: over %s it adds %.1f of worth and costs %.1f (%.1fs out), at %s",
			engine.Name, engine.Role, to, w.horizon, gained, lost, out, w.describe()),
	}
}

// describe tells the demand in engines and the split that serves it.
func (w weighing) describe() string {
	return fmt.Sprintf("a demand of %.1f engines reading and %.1f writing, served by %s",
		w.load.prefillEngines(), w.load.decodeEngines(), w.split)
}
