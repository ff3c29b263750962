package check

import "github.com/hazelpitch/hazelpitch/internal/soak/history"

// atUnknownPlaces finds requests that reached a place that no back end of the site has: an entry of another writer on the
// list names it.
func atUnknownPlaces(seen *history.History) []Finding {
	var findings []Finding
	for _, arrival := range seen.Arrivals {
		if arrival.Service == history.NoService {
			findings = append(findings, newFinding(Route, arrival.At, "request %q reached %s, which only entries of other writers name", arrival.ID, arrival.Replica))
		}
	}
	return findings
}
