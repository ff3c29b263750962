package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// hindsightWindow is the span over which the static policies average arrivals.
const hindsightWindow = 5 * time.Second

// staticCandidates is how many splits, best by the model, the emulator compares.
const staticCandidates = 3

// Study runs policies on one scenario and seed and remembers what they share.
type Study struct {
	declared scenario.Scenario
	arrivals []scenario.Arrival
	seed     uint64
	// WholeOnly is passed on to each run.
	WholeOnly bool
	cached    []float64
	best      *Run
	planned   *Run
	plan      *clairvoyantPlan
}

// NewStudy draws the arrivals of a scenario.
func NewStudy(declared scenario.Scenario, seed uint64) *Study {
	arrivals := declared.Arrivals(seed)
	return StudyOf(declared, arrivals, seed)
}

// StudyOf is a study of given arrivals.
func StudyOf(declared scenario.Scenario, arrivals []scenario.Arrival, seed uint64) *Study {
	return &Study{declared: declared, arrivals: arrivals, seed: seed, cached: cachedShares(&declared, arrivals)}
}

// Run runs one policy by name.
func (s *Study) Run(name string) (*Run, error) {
	switch name {
	case PolicyPlanner:
		return s.runPlanner()
	case PolicyPrevious:
		return s.simulate(previousPolicy())
	case PolicyReactive:
		return s.simulate(reactivePolicy())
	case PolicyUnchanged:
		return s.simulate(schedulePolicy(name, nil))
	case PolicyAllMixed:
		return s.simulate(staticPolicy(name, s.eachService(func(service *scenario.Service) planner.Split {
			return planner.Split{Mixed: engineCount(service)}
		})))
	case PolicyStaticMean:
		return s.simulate(staticPolicy(name, s.eachService(s.meanSplit)))
	case PolicyStaticBest:
		return s.staticBest()
	case PolicyClairvoyant:
		plan, err := s.clairvoyant()
		if err != nil {
			return nil, err
		}
		return plan.declared, nil
	}
	return nil, trace.BadParameter("there is no policy %q; policies are %v", name, PolicyNames())
}

// runPlanner runs the product's planner once.
func (s *Study) runPlanner() (*Run, error) {
	if s.planned != nil {
		return s.planned, nil
	}
	var err error
	s.planned, err = s.simulate(ProductPolicy())
	return s.planned, err
}

// Bound is the highest goodput of all plans that the search for the clairvoyant plan
// has run.
func (s *Study) Bound() (float64, error) {
	plan, err := s.clairvoyant()
	if err != nil {
		return 0, err
	}
	return plan.goodput, nil
}

func (s *Study) simulate(policy Policy) (*Run, error) {
	return Simulate(Options{Scenario: s.declared, Arrivals: s.arrivals, Seed: s.seed, Policy: policy, WholeOnly: s.WholeOnly})
}

func (s *Study) eachService(choose func(*scenario.Service) planner.Split) map[string]planner.Split {
	splits := map[string]planner.Split{}
	for i := range s.declared.Services {
		service := &s.declared.Services[i]
		splits[service.Name] = choose(service)
	}
	return splits
}

func (s *Study) model(service *scenario.Service) planner.Model {
	return planner.NewModel(plannerProfile(service))
}

// meanSplit divides the engines into readers and writers for the mean mix.
func (s *Study) meanSplit(service *scenario.Service) planner.Split {
	mean := windowsOf(&s.declared, s.arrivals, service.Name, s.declared.Duration, s.cached)[0]
	model := s.model(service)
	best, most := planner.Split{}, -1.0
	for _, split := range allSplits(service) {
		if split.Mixed > 0 {
			continue
		}
		// Beyond what the demand needs, the split with the larger margin is better.
		if worth := model.Goodput(split, mean.demands) + model.HeadroomBonus(split, mean.demands); worth > most {
			best, most = split, worth
		}
	}
	return best
}

// staticBest runs the splits that the model likes best and keeps the best run.
func (s *Study) staticBest() (*Run, error) {
	if s.best != nil {
		return s.best, nil
	}
	ranked := map[string][]planner.Split{}
	for i := range s.declared.Services {
		service := &s.declared.Services[i]
		ranked[service.Name] = s.rankSplits(service)
	}
	for place := range staticCandidates {
		run, err := s.simulate(staticPolicy(PolicyStaticBest, s.eachService(func(service *scenario.Service) planner.Split {
			own := ranked[service.Name]
			return own[min(place, len(own)-1)]
		})))
		if err != nil {
			return nil, err
		}
		if s.best == nil || run.Goodput > s.best.Goodput {
			s.best = run
		}
	}
	return s.best, nil
}

// rankSplits orders the splits of a service by the model's worth over the whole run.
func (s *Study) rankSplits(service *scenario.Service) []planner.Split {
	windows := windowsOf(&s.declared, s.arrivals, service.Name, hindsightWindow, s.cached)
	markOutages(&s.declared, service, windows)
	model := s.model(service)
	worth := map[planner.Split]float64{}
	splits := allSplits(service)
	for _, split := range splits {
		for _, window := range windows {
			worth[split] += window.rate(model, split) * (window.to - window.from).Seconds()
		}
	}
	slices.SortStableFunc(splits, func(a, b planner.Split) int { return cmp.Compare(worth[b], worth[a]) })
	return splits
}
