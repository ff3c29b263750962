package previousplanner

import (
	"sort"
	"time"
)

// kindLoad is what one kind of request asks of the engines.
type kindLoad struct {
	kind string
	// arrivals per second.
	arrivals float64
	// prefill and decode are engine-seconds of one request in each stage.
	prefill float64
	decode  float64
	worth   float64
	// deadline in seconds; zero is none.
	deadline float64
}

// workload is the demand on one service at one time, sorted by kind.
type workload []kindLoad

// buildWorkload joins estimates with worths and the profile. Kinds without a
// declared worth are worth one.
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

// prefillEngines is the number of engines that reading prompts keeps busy.
func (w workload) prefillEngines() float64 {
	total := 0.0
	for _, load := range w {
		total += load.arrivals * load.prefill
	}
	return total
}

// decodeEngines is the number of engines that writing output keeps busy.
func (w workload) decodeEngines() float64 {
	total := 0.0
	for _, load := range w {
		total += load.arrivals * load.decode
	}
	return total
}

// worthRate is the worth that arrives each second.
func (w workload) worthRate() float64 {
	total := 0.0
	for _, load := range w {
		total += load.arrivals * load.worth
	}
	return total
}

// seconds converts a duration for arithmetic.
func seconds(d time.Duration) float64 { return d.Seconds() }
