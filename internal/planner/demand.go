package planner

import (
	"cmp"
	"slices"
)

// kindEstimate is the demand of one kind at one time, summed over zones.
type kindEstimate struct {
	kind      string
	arrivals  float64 // per second
	completed float64 // per second
	lost      float64 // per second
	prompt    float64 // tokens
	output    float64 // tokens of those that generated output; 0 if there were none
}

// sumZones adds the rates of each kind over zones and averages its tokens.
func sumZones(demands []DemandObservation) []kindEstimate {
	byKind := map[string]*kindEstimate{}
	for _, demand := range demands {
		sum := byKind[demand.Kind]
		if sum == nil {
			sum = &kindEstimate{kind: demand.Kind}
			byKind[demand.Kind] = sum
		}
		sum.prompt = weightedMean(sum.arrivals, sum.prompt, demand.ArrivalsPerSecond, demand.PromptTokens)
		sum.output = weightedMean(sum.completed, sum.output, demand.CompletedPerSecond, demand.OutputTokens)
		sum.arrivals += demand.ArrivalsPerSecond
		sum.completed += demand.CompletedPerSecond
		sum.lost += demand.LostPerSecond
	}
	result := make([]kindEstimate, 0, len(byKind))
	for _, sum := range byKind {
		result = append(result, *sum)
	}
	slices.SortFunc(result, func(a, b kindEstimate) int { return cmp.Compare(a.kind, b.kind) })
	return result
}

// weightedMean combines two means; a mean of weight 0 counts only if both have weight 0.
func weightedMean(weight, mean, addedWeight, added float64) float64 {
	switch {
	case weight+addedWeight > 0:
		return (weight*mean + addedWeight*added) / (weight + addedWeight)
	case mean > 0:
		return mean
	}
	return added
}
