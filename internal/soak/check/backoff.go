package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// backoffSlack is the time for which requests may still reach a back end that has asked for backoff. After that,
	// toleratedBackoffArrivals requests are tolerated until the backoff ends.
	backoffSlack             = 500 * time.Millisecond
	toleratedBackoffArrivals = 2
)

// relayAndReplica identifies a relay and one incarnation of a back end.
type relayAndReplica struct{ machine, replica string }

// arrivalsByRelayAndReplica returns the arrivals that each relay sent to each incarnation of a back end.
func arrivalsByRelayAndReplica(recorded *history.History) map[relayAndReplica][]history.Arrival {
	arrivals := map[relayAndReplica][]history.Arrival{}
	for _, arrival := range recorded.Arrivals {
		if arrival.Machine != "" {
			at := relayAndReplica{arrival.Machine, arrival.Replica}
			arrivals[at] = append(arrivals[at], arrival)
		}
	}
	return arrivals
}

// sentDuringBackoff finds back ends that asked a relay for backoff and received more than toleratedBackoffArrivals
// requests from that relay between backoffSlack after the response and the end of the backoff. A relay that had a
// fault, or was cut off from the back end, may not know of the backoff and is left out.
func sentDuringBackoff(recorded *history.History) []Finding {
	var findings []Finding
	for at, arrivals := range arrivalsByRelayAndReplica(recorded) {
		for _, refusal := range arrivals {
			if refusal.Rest == 0 {
				continue
			}
			end, count := refusal.EndedAt+refusal.Rest, 0
			for _, arrival := range arrivals {
				if arrival.At <= refusal.EndedAt+backoffSlack || arrival.At >= end {
					continue
				}
				if count++; count == toleratedBackoffArrivals+1 && !recorded.WasDisturbed(refusal.At, arrival.At, at.machine, at.replica) {
					findings = append(findings, newFinding(Budget, arrival.At, "%s had asked %s for %s of backoff at %.3f s and received %d requests from it before the end", at.replica, at.machine, refusal.Rest, refusal.EndedAt.Seconds(), count))
				}
			}
		}
	}
	return findings
}
