package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// restSlack is how long after a back end has asked for rest requests may still reach it, and restArrivals how
	// many may after that, until the rest is over.
	restSlack    = 500 * time.Millisecond
	restArrivals = 2
)

// atReplica is one relay at one start of a back end.
type atReplica struct{ machine, replica string }

// arrivalsAt are the arrivals that each relay sent to each start of a back end.
func arrivalsAt(seen *history.History) map[atReplica][]history.Arrival {
	arrivals := map[atReplica][]history.Arrival{}
	for _, arrival := range seen.Arrivals {
		if arrival.Machine != "" {
			at := atReplica{arrival.Machine, arrival.Replica}
			arrivals[at] = append(arrivals[at], arrival)
		}
	}
	return arrivals
}

// rests finds back ends that had asked a relay for rest and got more than two requests of it meanwhile. A relay that
// was struck, or cut off from the back end, need not know.
func rests(seen *history.History) []Finding {
	var findings []Finding
	for at, arrivals := range arrivalsAt(seen) {
		for _, asked := range arrivals {
			if asked.Rest == 0 {
				continue
			}
			end, count := asked.EndedAt+asked.Rest, 0
			for _, arrival := range arrivals {
				if arrival.At <= asked.EndedAt+restSlack || arrival.At >= end {
					continue
				}
				if count++; count == restArrivals+1 && !seen.Disturbed(asked.At, arrival.At, at.machine, at.replica) {
					findings = append(findings, found(Budget, arrival.At, "%s had asked %s for %s of rest at %.3f s, and got %d requests of it meanwhile", at.replica, at.machine, asked.Rest, asked.EndedAt.Seconds(), count))
				}
			}
		}
	}
	return findings
}
