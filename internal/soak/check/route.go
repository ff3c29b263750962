package check

import "github.com/hazelpitch/hazelpitch/internal/soak/history"

// atUnknownAddresses finds requests that reached an address at which the site has no back end: only list entries of other
// writers name it.
func atUnknownAddresses(recorded *history.History) []Finding {
	var findings []Finding
	for _, arrival := range recorded.Arrivals {
		if arrival.Service == history.NoService {
			findings = append(findings, newFinding(Route, arrival.At, "request %q reached %s, which only list entries of other writers name", arrival.ID, arrival.Replica))
		}
	}
	return findings
}
