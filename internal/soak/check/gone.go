package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// goneSlack is the time for which a request may still reach back ends, and back ends may still work on it, after its
	// client has left.
	goneSlack = 500 * time.Millisecond
	// toleratedGoneArrivals is the number of requests in a run that may reach back ends later than goneSlack.
	toleratedGoneArrivals = 3
	// goneMinSample is the smallest number of requests that outlast their clients for which the share still worked on is
	// checked.
	goneMinSample = 8
)

// gone finds that more than toleratedGoneArrivals requests on repeatable routes reach back ends later than goneSlack
// after their clients have left. It also finds that back ends, goneSlack after the clients have left, still work on
// more than a quarter of the requests that outlast their clients. Requests at back ends that stood still do not count: they
// cannot see that a client has left.
func gone(recorded *history.History) []Finding {
	abandoned := map[string]history.Sending{}
	for _, sending := range recorded.Sendings {
		if sending.ClosedAt > 0 && recorded.Routes[sending.Route].Repeatable && recorded.IsInContact(sending.Front, sending.ClosedAt+goneSlack) {
			abandoned[sending.ID] = sending
		}
	}
	late, outlasting, stillRunning := 0, 0, 0
	var findings []Finding
	for _, arrival := range recorded.Arrivals {
		sending, known := abandoned[arrival.ID]
		due := sending.ClosedAt + goneSlack
		if !known || recorded.WasHeldUp(arrival.Replica, max(arrival.At, due)) {
			continue
		}
		if arrival.At > due {
			if late++; late == toleratedGoneArrivals+1 {
				findings = append(findings, newFinding(Gone, arrival.At, "request %s reached %s %s after its client had left; %d such requests", arrival.ID, arrival.Replica, arrival.At-sending.ClosedAt, late))
			}
			continue
		}
		if arrival.Ran && arrival.EndedAt > sending.ClosedAt {
			outlasting++
			if arrival.EndedAt > due {
				stillRunning++
			}
		}
	}
	if outlasting >= goneMinSample && 4*stillRunning > outlasting {
		findings = append(findings, newFinding(Gone, 0, "%d of %d requests were still worked on half a second after their clients had left", stillRunning, outlasting))
	}
	return findings
}
