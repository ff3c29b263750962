package planner

import (
	"cmp"
	"slices"
)

// estimate is one kind's demand at one time, summed over zones.
type estimate struct {
	kind      string
	arrivals  float64 // per second
	completed float64 // per second
	lost      float64 // per second
	prompt    float64 // tokens
	output    float64 // tokens of those that completed; 0 when none did
}

// sumZones adds the rates of each kind over zones and averages its tokens.
func sumZones(demands []DemandObservation) []estimate {
	byKind := map[string]*estimate{}
	for _, demand := range demands {
		sum := byKind[demand.Kind]
		if sum == nil {
			sum = &estimate{kind: demand.Kind}
			byKind[demand.Kind] = sum
		}
		sum.prompt = weightedMean(sum.arrivals, sum.prompt, demand.ArrivalsPerSecond, demand.PromptTokens)
		sum.output = weightedMean(sum.completed, sum.output, demand.CompletedPerSecond, demand.OutputTokens)
		sum.arrivals += demand.ArrivalsPerSecond
		sum.completed += demand.CompletedPerSecond
		sum.lost += demand.LostPerSecond
	}
	result := make([]estimate, 0, len(byKind))
	for _, sum := range byKind {
		result = append(result, *sum)
	}
	slices.SortFunc(result, func(a, b estimate) int { return cmp.Compare(a.kind, b.kind) })
	return result
}

// weightedMean joins two means; a mean of no weight counts only when both have none.
func weightedMean(weight, mean, addedWeight, added float64) float64 {
	switch {
	case weight+addedWeight > 0:
		return (weight*mean + addedWeight*added) / (weight + addedWeight)
	case mean > 0:
		return mean
	}
	return added
}
