package check

import (
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// mixed finds responses that are not the back end's own response to the client's own request: the response to another
// request, a success without a seal, a complete body that no back end of the request returned, or a failure whose status
// is not that of its back end.
func mixed(recorded *history.History) []Finding {
	arrivals := arrivalsByID(recorded)
	var findings []Finding
	for _, sending := range recorded.Sendings {
		switch {
		case sending.Status == 0:
		case sending.AnswerID != "" && sending.AnswerID != sending.ID:
			findings = append(findings, newFinding(Mixed, sending.EndedAt, "request %s got the response to %s", sending.ID, sending.AnswerID))
		case sending.Succeeded() && sending.Seal == "":
			findings = append(findings, newFinding(Mixed, sending.EndedAt, "request %s got a success without a seal", sending.ID))
		case sending.Seal != "" && sending.Whole && !recorded.Routes[sending.Route].Stream && !hasReturned(arrivals[sending.ID], sending):
			findings = append(findings, newFinding(Mixed, sending.EndedAt, "request %s got a response that none of its back ends returned", sending.ID))
		}
	}
	return findings
}

// hasReturned reports whether one of the back ends returned the response.
func hasReturned(arrivals []history.Arrival, sending history.Sending) bool {
	for _, arrival := range arrivals {
		if arrival.Status != sending.Status || arrival.Seal != sending.Seal {
			continue
		}
		isHalf := brokeOffUnframed(arrival) && sending.EndsWithConnection && strings.HasPrefix(arrival.Body, sending.Body)
		if isHalf || arrival.Body == sending.Body {
			return true
		}
	}
	return false
}
