package check

import "github.com/hazelpitch/hazelpitch/internal/soak/history"

// mixed finds answers that are not the back end's own answer to the client's own request: another
// request's, a success without a seal, a body that no back end of the request made whole, a failure whose
// status is not its back end's.
func mixed(seen *history.History) []Finding {
	arrivals := arrivalsByID(seen)
	var findings []Finding
	for _, sending := range seen.Sendings {
		switch {
		case sending.Status == 0:
		case sending.AnswerID != "" && sending.AnswerID != sending.ID:
			findings = append(findings, newFinding(Mixed, sending.EndedAt, "request %s got the answer to %s", sending.ID, sending.AnswerID))
		case sending.Succeeded() && sending.Seal == "":
			findings = append(findings, newFinding(Mixed, sending.EndedAt, "request %s got a success without a seal", sending.ID))
		case sending.Seal != "" && sending.Whole && !seen.Routes[sending.Route].Stream && !hasReturned(arrivals[sending.ID], sending):
			findings = append(findings, newFinding(Mixed, sending.EndedAt, "request %s got an answer that its back ends did not make", sending.ID))
		}
	}
	return findings
}

// hasReturned reports whether one of the back ends made the answer.
func hasReturned(arrivals []history.Arrival, sending history.Sending) bool {
	for _, arrival := range arrivals {
		if arrival.Status == sending.Status && arrival.Seal == sending.Seal && arrival.Body == sending.Body {
			return true
		}
	}
	return false
}
