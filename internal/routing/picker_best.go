package routing

// Best picks the candidate of least cost; of equal ones the first.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(_ *Decision, scored []Scored) int {
	best := 0
	for i := range scored {
		if scored[i].Cost < scored[best].Cost {
			best = i
		}
	}
	return best
}
