package check

import "github.com/hazelpitch/hazelpitch/internal/soak/history"

// twice finds requests that must not be repeated and that ran more than once.
func twice(recorded *history.History) []Finding {
	arrivals := arrivalsByID(recorded)
	var findings []Finding
	for _, sending := range recorded.Sendings {
		if recorded.Routes[sending.Route].Repeatable {
			continue
		}
		if runs := runsOf(arrivals[sending.ID]); len(runs) > 1 {
			findings = append(findings, newFinding(Twice, runs[1].At, "request %s ran %d times, at %s and %s", sending.ID, len(runs), runs[0].Replica, runs[1].Replica))
		}
	}
	return findings
}

// runsOf returns the arrivals that ran.
func runsOf(arrivals []history.Arrival) []history.Arrival {
	var runs []history.Arrival
	for _, arrival := range arrivals {
		if arrival.Ran {
			runs = append(runs, arrival)
		}
	}
	return runs
}
