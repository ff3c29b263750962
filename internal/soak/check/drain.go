package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// drain finds requests that relays in contact sent to a back end later than the drain bound after it was listed as
// leaving. Requests that reached it late because it stood still do not count.
func drain(recorded *history.History) []Finding {
	leftAt := map[string]time.Duration{}
	for _, listing := range recorded.Listings {
		if _, known := leftAt[listing.Replica]; !known && listing.State != history.Ready {
			leftAt[listing.Replica] = listing.At
		}
	}
	var findings []Finding
	for _, arrival := range recorded.Arrivals {
		left, leaving := leftAt[arrival.Replica]
		if leaving && arrival.Status != 421 && arrival.At > left+recorded.Bounds.Drain && recorded.IsInContact(arrival.Machine, arrival.At) && !recorded.WasHeldUp(arrival.Replica, arrival.At) {
			findings = append(findings, newFinding(Drain, arrival.At, "request %s reached %s %s after it was listed as leaving", arrival.ID, arrival.Replica, arrival.At-left))
		}
	}
	return findings
}
