package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// hindsightWindow is the length of the windows in which splits are ranked.
const hindsightWindow = 5 * time.Second

// staticCandidates is how many of the splits that the model ranks highest are simulated.
const staticCandidates = 3

// Study runs policies on one scenario and seed and caches the results that they share.
type Study struct {
	declared scenario.Scenario
	arrivals []scenario.Arrival
	seed     uint64
	// WholeOnly is Options.WholeOnly of each run of the study.
	WholeOnly    bool
	cachedShares []float64
	staticRun    *Run
	plannerRun   *Run
	plan         *clairvoyantPlan
}

// NewStudy returns a study of a scenario with the arrivals of a seed.
func NewStudy(declared scenario.Scenario, seed uint64) *Study {
	arrivals := declared.Arrivals(seed)
	return StudyOf(declared, arrivals, seed)
}

// StudyOf returns a study of a scenario with given arrivals.
func StudyOf(declared scenario.Scenario, arrivals []scenario.Arrival, seed uint64) *Study {
	return &Study{declared: declared, arrivals: arrivals, seed: seed, cachedShares: cachedShares(&declared, arrivals)}
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
		return s.simulate(staticPolicy(name, s.splitByService(func(service *scenario.Service) planner.Split {
			return planner.Split{Mixed: engineCount(service)}
		})))
	case PolicyStaticMean:
		return s.simulate(staticPolicy(name, s.splitByService(s.meanSplit)))
	case PolicyStaticBest:
		return s.staticBest()
	case PolicyClairvoyant:
		plan, err := s.clairvoyant()
		if err != nil {
			return nil, err
		}
		return plan.bestRun, nil
	}
	return nil, trace.BadParameter("unknown policy %q; choose one of %v", name, PolicyNames())
}

// runPlanner runs the product's planner, once per study.
func (s *Study) runPlanner() (*Run, error) {
	if s.plannerRun != nil {
		return s.plannerRun, nil
	}
	var err error
	s.plannerRun, err = s.simulate(ProductPolicy())
	return s.plannerRun, err
}

// Bound returns the highest goodput of all plans that the search for the clairvoyant plan has
// simulated.
func (s *Study) Bound() (float64, error) {
	plan, err := s.clairvoyant()
	if err != nil {
		return 0, err
	}
	return plan.highestGoodput, nil
}

func (s *Study) simulate(policy Policy) (*Run, error) {
	return Simulate(Options{Scenario: s.declared, Arrivals: s.arrivals, Seed: s.seed, Policy: policy, WholeOnly: s.WholeOnly})
}

func (s *Study) splitByService(choose func(*scenario.Service) planner.Split) map[string]planner.Split {
	splits := map[string]planner.Split{}
	for i := range s.declared.Services {
		service := &s.declared.Services[i]
		splits[service.Name] = choose(service)
	}
	return splits
}

func (s *Study) plannerModel(service *scenario.Service) planner.Model {
	return planner.NewModel(plannerProfile(service))
}

// meanSplit returns the split without mixed engines that has the highest modelled worth for the mean demand of the
// run.
func (s *Study) meanSplit(service *scenario.Service) planner.Split {
	mean := demandWindows(&s.declared, s.arrivals, service.Name, s.declared.Duration, s.cachedShares)[0]
	model := s.plannerModel(service)
	best, most := planner.Split{}, -1.0
	for _, split := range allSplits(service) {
		if split.Mixed > 0 {
			continue
		}
		// Beyond the demand, the split with the larger headroom is better.
		if worth := model.Goodput(split, mean.demands) + model.HeadroomBonus(split, mean.demands); worth > most {
			best, most = split, worth
		}
	}
	return best
}

// staticBest simulates the splits that the model ranks highest and returns the best run.
func (s *Study) staticBest() (*Run, error) {
	if s.staticRun != nil {
		return s.staticRun, nil
	}
	ranked := map[string][]planner.Split{}
	for i := range s.declared.Services {
		service := &s.declared.Services[i]
		ranked[service.Name] = s.rankSplits(service)
	}
	for place := range staticCandidates {
		run, err := s.simulate(staticPolicy(PolicyStaticBest, s.splitByService(func(service *scenario.Service) planner.Split {
			candidates := ranked[service.Name]
			return candidates[min(place, len(candidates)-1)]
		})))
		if err != nil {
			return nil, err
		}
		if s.staticRun == nil || run.Goodput > s.staticRun.Goodput {
			s.staticRun = run
		}
	}
	return s.staticRun, nil
}

// rankSplits returns the splits of a service by descending modelled worth over the whole run.
func (s *Study) rankSplits(service *scenario.Service) []planner.Split {
	windows := demandWindows(&s.declared, s.arrivals, service.Name, hindsightWindow, s.cachedShares)
	setUpShares(&s.declared, service, windows)
	model := s.plannerModel(service)
	worth := map[planner.Split]float64{}
	splits := allSplits(service)
	for _, split := range splits {
		for _, window := range windows {
			worth[split] += window.worthRate(model, split) * (window.to - window.from).Seconds()
		}
	}
	slices.SortStableFunc(splits, func(a, b planner.Split) int { return cmp.Compare(worth[b], worth[a]) })
	return splits
}
