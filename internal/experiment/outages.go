package experiment

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// markOutages tells each window the share of a service's engines that crashes leave. The
// clairvoyant plan knows of crashes as it knows of arrivals.
func markOutages(declared *scenario.Scenario, service *scenario.Service, windows []window) {
	total := float64(engineCount(service))
	for i := range windows {
		windows[i].up = 1
		for _, fault := range declared.Faults {
			if fault.Fault == scenario.FaultEngineCrash && overlaps(fault, windows[i].from, windows[i].to) {
				windows[i].up -= float64(countOf(service.Name, fault.Targets(declared.Engines()))) / total
			}
		}
	}
}

func overlaps(fault scenario.Fault, from, to time.Duration) bool {
	return fault.At < to && (fault.Length == 0 || fault.At+fault.Length > from)
}

func countOf(service string, engines []scenario.Engine) int {
	count := 0
	for _, engine := range engines {
		if engine.Service == service {
			count++
		}
	}
	return count
}

// rate is the modelled worth per second of a split within the window, with the engines
// that are up.
func (w *window) rate(model planner.Model, split planner.Split) float64 {
	if w.up <= 0 {
		return 0
	}
	demands := w.demands
	if w.up < 1 { // so much less capacity is so much more demand for each engine
		demands = make([]planner.KindDemand, len(w.demands))
		for i, demand := range w.demands {
			demand.ArrivalsPerSecond /= w.up
			demands[i] = demand
		}
	}
	return w.up * (model.Goodput(split, demands) + model.HeadroomBonus(split, demands))
}
