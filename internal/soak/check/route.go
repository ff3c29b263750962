package check

import "github.com/hazelpitch/hazelpitch/internal/soak/history"

// atUnknownAddresses finds requests that reached an address at which the site has no back end. Only entries of the
// platform's list that others than the platform wrote name such an address.
func atUnknownAddresses(recorded *history.History) []Finding {
	var findings []Finding
	for _, arrival := range recorded.Arrivals {
		if arrival.Service == history.NoService {
			findings = append(findings, newFinding(Route, arrival.At, "request %q reached %s, which only list entries of other writers name", arrival.ID, arrival.Replica))
		}
	}
	return findings
}
