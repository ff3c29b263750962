package check

import (
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// graceShare is the share of Bounds.Grace after which a stopping relay may abort requests under way.
const graceShare = 5.0 / 6

// unansweredByStopping finds requests that reached a relay that was asked to stop, on an open connection, and got no
// response at all: the relay must serve or refuse them. Relays of another build are left out.
func unansweredByStopping(recorded *history.History) []Finding {
	var findings []Finding
	for _, sending := range recorded.Sendings {
		unanswered := sending.Connected && sending.Status == 0 && sending.ClosedAt == 0 && sending.ResetAt == 0 && sending.EndedAt-sending.SentAt < sending.Deadline
		if unanswered && reachedStoppingRelay(recorded, sending) {
			findings = append(findings, newFinding(Lost, sending.EndedAt, "request %s at %s, which was asked to stop, got no answer", sending.ID, sending.Front))
		}
	}
	return findings
}

// reachedStoppingRelay reports whether a request's relay was asked to stop and had no other fault that may cut the
// request.
func reachedStoppingRelay(recorded *history.History, sending history.Sending) bool {
	isStopping := false
	for _, fault := range recorded.Faults {
		if fault.Target != sending.Front || fault.From > sending.EndedAt || fault.To < sending.SentAt {
			continue
		}
		switch {
		case fault.Kind == history.Reload || fault.Kind == history.Cut || fault.Kind == history.CutFromBackEnds:
		case fault.Kind != history.Terminate || fault.OtherBuild:
			return false
		case float64(sending.EndedAt-fault.From) < graceShare*float64(recorded.Bounds.Grace):
			isStopping = true
		}
	}
	return isStopping
}
