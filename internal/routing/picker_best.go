package routing

// LowestCost picks the candidate of least cost; of equal ones the first.
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
