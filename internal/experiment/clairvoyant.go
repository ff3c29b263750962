package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

const (
	// assumedDrain is the assumed time that a busy engine needs to drain; a plan loses it in
	// addition to the role change itself.
	assumedDrain = 2 * time.Second
	// maxRefinements limits the simulations of the local search.
	maxRefinements = 2
)

// planVariant is a set of parameters for planning with the fluid model.
type planVariant struct {
	// priceFactor multiplies the declared price of a change; 0 maximizes goodput alone.
	priceFactor float64
	// lead is how much earlier changes begin than the fluid model plans them.
	lead time.Duration
	// pairsOnly excludes mixed engines.
	pairsOnly bool
}

var planVariants = []planVariant{
	{priceFactor: 0, pairsOnly: true},
	{priceFactor: 1, pairsOnly: true, lead: 4 * time.Second},
	{priceFactor: 1},
}

// clairvoyantPlan is the result of the search for the clairvoyant plan.
type clairvoyantPlan struct {
	// bestRun is the run of the plan that is best under the declared trade: goodput less the
	// price of its changes.
	bestRun *Run
	// highestGoodput is the highest goodput of all simulated plans.
	highestGoodput float64
}

// clairvoyant searches for the best plan with knowledge of all arrivals. Dynamic programming
// over splits with the fluid model gives candidate plans; these and the plan that the
// product's planner made are simulated, and a local search improves the best one. Plans start
// with the scenario's roles and pay for changes in time, as every policy does.
func (s *Study) clairvoyant() (*clairvoyantPlan, error) {
	if s.plan != nil {
		return s.plan, nil
	}
	search := &planSearch{study: s, evaluated: map[string]bool{}}
	candidates := []map[string]schedule{{}} // the empty plan makes no change
	for _, variant := range planVariants {
		candidates = append(candidates, s.planAll(variant))
	}
	candidates = append(candidates, s.staticPlan())
	planned, err := s.runPlanner()
	if err != nil {
		return nil, err
	}
	candidates = append(candidates, s.planFromRun(planned))
	for _, plan := range candidates {
		if err := search.evaluate(plan); err != nil {
			return nil, err
		}
	}
	if err := search.refine(); err != nil {
		return nil, err
	}
	s.plan = &clairvoyantPlan{bestRun: search.bestRun, highestGoodput: search.highestGoodput}
	return s.plan, nil
}

// planAll plans each service separately.
func (s *Study) planAll(variant planVariant) map[string]schedule {
	plans := map[string]schedule{}
	for i := range s.declared.Services {
		service := &s.declared.Services[i]
		plans[service.Name] = s.planService(service, variant)
	}
	return plans
}

// staticPlan changes at once to the split that the model ranks highest over the whole run and
// keeps it.
func (s *Study) staticPlan() map[string]schedule {
	plan := map[string]schedule{}
	for i := range s.declared.Services {
		service := &s.declared.Services[i]
		plan[service.Name] = schedule{{split: s.rankSplits(service)[0]}}
	}
	return plan
}

// planFromRun returns the changes that a run of another policy carried out as a plan, a candidate for the search.
func (s *Study) planFromRun(run *Run) map[string]schedule {
	plan := map[string]schedule{}
	splits := map[string]planner.Split{}
	for _, service := range s.declared.Services {
		splits[service.Name] = initialSplit(&s.declared, service.Name)
	}
	for _, event := range run.Events {
		if event.Type != EventChangeStarted {
			continue
		}
		changed := splits[event.Service].Add(enginecontract.Role(event.From), -1).Add(enginecontract.Role(event.To), 1)
		splits[event.Service] = changed
		at := time.Duration(event.AtSeconds * float64(time.Second))
		plan[event.Service] = append(plan[event.Service], scheduledSplit{from: at, split: changed})
	}
	return plan
}

// planService finds the best sequence of splits by dynamic programming, with a step as long
// as an engine is out of service for a change.
func (s *Study) planService(service *scenario.Service, variant planVariant) schedule {
	outage := assumedDrain + service.EngineProfile().RoleChange
	windows := demandWindows(&s.declared, s.arrivals, service.Name, outage, s.cachedShares)
	setUpShares(&s.declared, service, windows)
	splits := allSplits(service)
	if variant.pairsOnly {
		splits = slices.DeleteFunc(splits, func(split planner.Split) bool { return split.Mixed > 0 })
	}
	program := &dynamicProgram{
		model: s.plannerModel(service), windows: windows, splits: splits,
		initial: initialSplit(&s.declared, service.Name), maxMoves: maxOut(service),
		changePrice: variant.priceFactor * service.Trade.ChangePrice, rateCache: map[rateKey]float64{},
	}
	return program.solve(variant.lead)
}

// planSearch simulates plans and stores the best plan, its run and the highest goodput.
type planSearch struct {
	study *Study
	// evaluated holds the plans that have been simulated, in text form, to simulate no plan twice.
	evaluated      map[string]bool
	bestPlan       map[string]schedule
	bestRun        *Run
	highestGoodput float64
}

func (p *planSearch) evaluate(plan map[string]schedule) error {
	text := fmt.Sprint(plan) // prints maps in order of their keys
	if p.evaluated[text] {
		return nil
	}
	p.evaluated[text] = true
	run, err := p.study.simulate(schedulePolicy(PolicyClairvoyant, plan))
	if err != nil {
		return err
	}
	p.highestGoodput = max(p.highestGoodput, run.Goodput)
	if p.bestRun == nil || p.declaredValue(run) > p.declaredValue(p.bestRun) {
		p.bestRun, p.bestPlan = run, plan
	}
	return nil
}

// declaredValue is the value of a run under the declared trade: goodput less the price of changes.
func (p *planSearch) declaredValue(run *Run) float64 {
	value := run.Goodput
	for _, service := range p.study.declared.Services {
		value -= service.Trade.ChangePrice * float64(changesOf(run, service.Name))
	}
	return value
}

func changesOf(run *Run, service string) int {
	changes := 0
	for _, event := range run.Events {
		if event.Type == EventChangeStarted && event.Service == service {
			changes++
		}
	}
	return changes
}

// refine evaluates neighbours of the best plan as long as one improves it, up to maxRefinements.
func (p *planSearch) refine() error {
	remaining := maxRefinements
	for improved := true; improved && remaining > 0; {
		improved = false
		for _, neighbour := range neighbours(p.bestPlan, p.study.declared.Services) {
			if remaining == 0 {
				return nil
			}
			remaining--
			before := p.bestRun
			if err := p.evaluate(neighbour); err != nil {
				return err
			}
			if p.bestRun != before {
				improved = true
				break
			}
		}
	}
	return nil
}

// neighbours returns the plans with one step earlier, later or omitted.
func neighbours(plan map[string]schedule, services []scenario.Service) []map[string]schedule {
	var result []map[string]schedule
	for _, service := range services {
		steps := plan[service.Name]
		for i := range steps {
			dropped := append(append(schedule{}, steps[:i]...), steps[i+1:]...)
			earlier, later := append(schedule{}, steps...), append(schedule{}, steps...)
			earlier[i].from -= neighbourShift
			later[i].from += neighbourShift
			for _, changed := range []schedule{dropped, earlier, later} {
				result = append(result, withSchedule(plan, service.Name, changed))
			}
		}
	}
	return result
}

// neighbourShift is the time by which the local search moves one step.
const neighbourShift = 4 * time.Second

func withSchedule(plan map[string]schedule, service string, steps schedule) map[string]schedule {
	result := map[string]schedule{}
	for name, schedule := range plan {
		result[name] = schedule
	}
	result[service] = steps
	return result
}
