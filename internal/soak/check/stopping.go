package check

import (
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// graceShare is the part of the grace at whose end a stopping relay may give up what is under way.
const graceShare = 5.0 / 6

// unansweredByStopping finds requests that reached a relay which stops as planned, on a connection that was just
// opened or in use, and got no answer at all: the relay serves them or refuses them. What a relay of another
// build does is that build's.
func unansweredByStopping(seen *history.History) []Finding {
	var findings []Finding
	for _, sending := range seen.Sendings {
		unanswered := sending.Connected && sending.Status == 0 && sending.ClosedAt == 0 && sending.EndedAt-sending.SentAt < sending.Deadline
		if unanswered && reachedStoppingRelay(seen, sending) {
			findings = append(findings, newFinding(Lost, sending.EndedAt, "request %s at %s, which was asked to stop, got no answer", sending.ID, sending.Front))
		}
	}
	return findings
}

// reachedStoppingRelay reports whether a request's relay was asked to stop, and nothing else was done to it.
func reachedStoppingRelay(seen *history.History, sending history.Sending) bool {
	stops := false
	for _, fault := range seen.Faults {
		if fault.Target != sending.Front || fault.From > sending.EndedAt || fault.To < sending.SentAt {
			continue
		}
		switch {
		case fault.Kind == history.Reload || fault.Kind == history.Cut:
		case fault.Kind != history.Terminate || fault.OtherBuild:
			return false
		case float64(sending.EndedAt-fault.From) < graceShare*float64(seen.Bounds.Grace):
			stops = true
		}
	}
	return stops
}
