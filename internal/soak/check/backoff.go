package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// backoffSlack is how long after a back end has asked for rest requests may still reach it, and restArrivals how
	// many may after that, until the rest is over.
	backoffSlack             = 500 * time.Millisecond
	toleratedBackoffArrivals = 2
)

// relayAndReplica is one relay at one start of a back end.
type relayAndReplica struct{ machine, replica string }

// arrivalsByRelayAndReplica are the arrivals that each relay sent to each start of a back end.
func arrivalsByRelayAndReplica(seen *history.History) map[relayAndReplica][]history.Arrival {
	arrivals := map[relayAndReplica][]history.Arrival{}
	for _, arrival := range seen.Arrivals {
		if arrival.Machine != "" {
			at := relayAndReplica{arrival.Machine, arrival.Replica}
			arrivals[at] = append(arrivals[at], arrival)
		}
	}
	return arrivals
}

// sentDuringBackoff finds back ends that had asked a relay for rest and got more than two requests of it meanwhile. A relay that
// was struck, or cut off from the back end, need not know.
func sentDuringBackoff(seen *history.History) []Finding {
	var findings []Finding
	for at, arrivals := range arrivalsByRelayAndReplica(seen) {
		for _, asked := range arrivals {
			if asked.Rest == 0 {
				continue
			}
			end, count := asked.EndedAt+asked.Rest, 0
			for _, arrival := range arrivals {
				if arrival.At <= asked.EndedAt+backoffSlack || arrival.At >= end {
					continue
				}
				if count++; count == toleratedBackoffArrivals+1 && !seen.WasDisturbed(asked.At, arrival.At, at.machine, at.replica) {
					findings = append(findings, newFinding(Budget, arrival.At, "%s had asked %s for %s of rest at %.3f s, and got %d requests of it meanwhile", at.replica, at.machine, asked.Rest, asked.EndedAt.Seconds(), count))
				}
			}
		}
	}
	return findings
}
