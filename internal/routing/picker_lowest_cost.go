package routing

// LowestCost picks the candidate with the lowest cost, the first one of a tie.
type LowestCost struct{}

// Pick implements Picker.
func (LowestCost) Pick(_ *Decision, scored []ScoredCandidate) int {
	best := 0
	for i := range scored {
		if scored[i].Cost < scored[best].Cost {
			best = i
		}
	}
	return best
}
