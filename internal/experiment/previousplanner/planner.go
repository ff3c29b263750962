package previousplanner

import (
	"fmt"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// defaultHorizon is the time within which a change must pay back if the policy sets none.
const defaultHorizon = 60 * time.Second

// QueueingPlanner evaluates single role changes with a queueing model of the service. It makes
// a change when the worth gained over the horizon exceeds the cost of its outage and cold
// cache plus the declared price. Its only state is the smoothed demand. It is not safe for
// concurrent use.
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
	if refusal := p.holdReason(observation); refusal != nil {
		return *refusal
	}
	return p.bestChange(observation)
}

// holdReason returns a decision to change nothing, with its reason, if no change may be made now; otherwise nil.
func (p *QueueingPlanner) holdReason(observation Observation) *Decision {
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

// bestChange evaluates every single change and returns the most valuable one that pays back.
func (p *QueueingPlanner) bestChange(observation Observation) Decision {
	evaluator := newChangeEvaluator(observation, p.tracker.current())
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
				if evaluator.split.Count(from) > 0 && evaluator.wants(from, to) {
					reason = fmt.Sprintf("%s to %s would pay back, but %s", from, to, why)
				}
				continue
			}
			change := evaluator.evaluate(engines[0], to)
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
		reason, 0-bestLoss, evaluator.horizon, evaluator.describe())
}

// hold returns a decision to change nothing.
func hold(format string, values ...any) Decision {
	return Decision{Reason: fmt.Sprintf(format, values...)}
}

// changeEvaluator holds the values by which the possible changes of one decision are compared.
type changeEvaluator struct {
	observation Observation
	estimates   []estimate
	load        workload
	model       capacityModel
	split       Split
	horizon     time.Duration
	// stayRate is the worth per second without a change.
	stayRate float64
}

func newChangeEvaluator(observation Observation, estimates []estimate) changeEvaluator {
	horizon := observation.Policy.Horizon
	if horizon <= 0 {
		horizon = defaultHorizon
	}
	result := changeEvaluator{
		observation: observation,
		estimates:   estimates,
		load:        buildWorkload(estimates, observation.Kinds, observation.Profile),
		model:       capacityModel{mixedPenalty: observation.Profile.MixedPenalty},
		split:       committedSplit(observation.Engines),
		horizon:     horizon,
	}
	result.stayRate = result.model.goodput(result.split, result.load)
	return result
}

// wants reports whether moving one engine from one role to the other gives a split whose worth per second is more
// than 2 % higher.
func (e changeEvaluator) wants(from, to enginecontract.Role) bool {
	after := e.split.Add(from, -1).Add(to, 1)
	return e.model.goodput(after, e.load) > e.stayRate*1.02
}

// evaluate computes the gain of one change over the horizon.
func (e changeEvaluator) evaluate(engine EngineObservation, to enginecontract.Role) Change {
	during := e.split.Add(engine.Role, -1)
	after := during.Add(to, 1)
	out := outage(engine, e.load, e.observation.Profile)
	horizon := seconds(e.horizon)
	outWithinHorizon := min(out, horizon)
	duringRate := e.model.goodput(during, e.load)
	afterRate := e.model.goodput(after, e.load)
	gained := (afterRate - e.stayRate) * (horizon - outWithinHorizon)
	lost := (e.stayRate-duringRate)*outWithinHorizon +
		cacheLoss(to, e.estimates, e.load, after, e.observation.Profile) +
		e.observation.Policy.ChangePrice
	return Change{
		Engine: engine.Name,
		From:   engine.Role,
		To:     to,
		Gain:   gained - lost,
		Reason: fmt.Sprintf("%s goes from %s to %s: over %s it adds %.1f of worth and costs %.1f (%.1fs out), at %s",
			engine.Name, engine.Role, to, e.horizon, gained, lost, out, e.describe()),
	}
}

// describe describes the demand, in engines, and the split that serves it.
func (e changeEvaluator) describe() string {
	return fmt.Sprintf("a demand of %.1f engines reading and %.1f writing, served by %s",
		e.load.prefillEngines(), e.load.decodeEngines(), e.split)
}
