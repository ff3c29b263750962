package experiment

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// setUpShares sets, for each window, the share of a service's engines without a crash that overlaps the window.
// The clairvoyant plan knows crashes in advance, as it knows arrivals.
func setUpShares(declared *scenario.Scenario, service *scenario.Service, windows []window) {
	total := float64(engineCount(service))
	for i := range windows {
		windows[i].upShare = 1
		for _, fault := range declared.Faults {
			if fault.Fault == scenario.FaultEngineCrash && overlaps(fault, windows[i].from, windows[i].to) {
				windows[i].upShare -= float64(countService(service.Name, fault.Targets(declared.Engines()))) / total
			}
		}
	}
}

func overlaps(fault scenario.Fault, from, to time.Duration) bool {
	return fault.At < to && (fault.Length == 0 || fault.At+fault.Length > from)
}

func countService(service string, engines []scenario.Engine) int {
	count := 0
	for _, engine := range engines {
		if engine.Service == service {
			count++
		}
	}
	return count
}

// worthRate returns the modelled worth per second of a split in the window, with the engines
// that are up.
func (w *window) worthRate(model planner.Model, split planner.Split) float64 {
	if w.upShare <= 0 {
		return 0
	}
	demands := w.demands
	if w.upShare < 1 { // lower capacity is modelled as proportionally higher demand on each engine
		demands = make([]planner.KindDemand, len(w.demands))
		for i, demand := range w.demands {
			demand.ArrivalsPerSecond /= w.upShare
			demands[i] = demand
		}
	}
	return w.upShare * (model.Goodput(split, demands) + model.HeadroomBonus(split, demands))
}
