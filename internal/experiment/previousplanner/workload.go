package previousplanner

import (
	"sort"
	"time"
)

// kindLoad is the load that the requests of one kind put on the engines of a service.
type kindLoad struct {
	kind string
	// arrivals per second.
	arrivals float64
	// prefill and decode are the engine-seconds of one request in each stage.
	prefill float64
	decode  float64
	worth   float64
	// deadline in seconds; 0 is no deadline.
	deadline float64
}

// workload is the demand on one service at one time, sorted by kind.
type workload []kindLoad

// buildWorkload combines estimates with worths and the profile. A kind without a declared
// worth has worth 1.
func buildWorkload(estimates []estimate, worths []KindWorth, profile EngineProfile) workload {
	loads := make(workload, 0, len(estimates))
	for _, current := range estimates {
		load := kindLoad{kind: current.kind, arrivals: current.arrivals, worth: 1}
		if profile.PrefillTokensPerSecond > 0 {
			load.prefill = current.prompt * (1 - current.cached) / profile.PrefillTokensPerSecond
		}
		if profile.DecodeTokensPerSecond > 0 {
			load.decode = current.output / profile.DecodeTokensPerSecond
		}
		for _, worth := range worths {
			if worth.Kind == current.kind {
				load.worth = worth.Worth
				load.deadline = worth.Deadline.Seconds()
			}
		}
		loads = append(loads, load)
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].kind < loads[j].kind })
	return loads
}

// prefillEngines returns the number of engines that prefill keeps busy.
func (w workload) prefillEngines() float64 {
	total := 0.0
	for _, load := range w {
		total += load.arrivals * load.prefill
	}
	return total
}

// decodeEngines returns the number of engines that decode keeps busy.
func (w workload) decodeEngines() float64 {
	total := 0.0
	for _, load := range w {
		total += load.arrivals * load.decode
	}
	return total
}

// worthRate returns the worth that arrives per second.
func (w workload) worthRate() float64 {
	total := 0.0
	for _, load := range w {
		total += load.arrivals * load.worth
	}
	return total
}

// seconds converts a duration to seconds.
func seconds(d time.Duration) float64 { return d.Seconds() }
