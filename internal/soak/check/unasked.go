package check

import "github.com/hazelpitch/hazelpitch/internal/soak/history"

// unasked finds requests at back ends that no client sent, or that differ from what the client sent.
func unasked(recorded *history.History) []Finding {
	sent := sendingsByID(recorded)
	var findings []Finding
	for _, arrival := range recorded.Arrivals {
		sending, known := sent[arrival.ID]
		switch {
		case !known && arrival.Ran:
			findings = append(findings, newFinding(Unasked, arrival.At, "back end %s ran request %q, which no client sent", arrival.Replica, arrival.ID))
		case known && (arrival.Method != sending.Method || arrival.Target != sending.Target || arrival.BodyHash != sending.BodyHash && !arrival.RequestUnread):
			findings = append(findings, newFinding(Unasked, arrival.At, "request %s reached %s changed: %s %s", arrival.ID, arrival.Replica, arrival.Method, arrival.Target))
		}
	}
	return findings
}
