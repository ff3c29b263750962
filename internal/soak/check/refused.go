package check

import "github.com/hazelpitch/hazelpitch/internal/soak/history"

// refused finds requests that must not be repeated and that ran although the response said that they have not run and
// never will.
func refused(recorded *history.History) []Finding {
	arrivals := arrivalsByID(recorded)
	var findings []Finding
	for _, sending := range recorded.Sendings {
		if recorded.Routes[sending.Route].Repeatable || !sending.PromisesNotRun() {
			continue
		}
		if runs := runsOf(arrivals[sending.ID]); len(runs) > 0 {
			findings = append(findings, newFinding(Refused, sending.EndedAt, "request %s was answered %d and ran at %s", sending.ID, sending.Status, runs[0].Replica))
		}
	}
	return findings
}
