package check

import (
	"fmt"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// streamEnd is the data of the last event in every stream of a run's back ends.
const streamEnd = "end"

// order finds streams in which an event is missing, repeated or out of order, streams that join two runs where the
// route does not allow it, and streams that end as complete before their last event.
func order(recorded *history.History) []Finding {
	var findings []Finding
	for _, sending := range recorded.Sendings {
		route := recorded.Routes[sending.Route]
		if !route.Stream || !sending.Succeeded() {
			continue
		}
		if fault := streamFault(sending, route); fault != "" {
			findings = append(findings, newFinding(Order, sending.EndedAt, "stream %s %s", sending.ID, fault))
		}
	}
	return findings
}

// streamFault describes what is wrong with a stream; empty for nothing. Each event is "id: N", then "data: RUN TEXT",
// where RUN is the identity of the back end.
func streamFault(sending history.Sending, route history.Route) string {
	expected, run, ended := 1, "", false
	for event := range strings.SplitSeq(strings.TrimSuffix(sending.Body, "\n\n"), "\n\n") {
		var number int
		var from, text string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %s %s", &number, &from, &text); err != nil {
			if sending.Whole {
				return fmt.Sprintf("contains %q, which is not an event", event)
			}
			return "" // the stream broke off within an event
		}
		switch {
		case number != expected:
			return fmt.Sprintf("has event %d in place of %d", number, expected)
		case run != "" && from != run && !route.Resumable:
			return fmt.Sprintf("joins runs of %s and %s", run, from)
		}
		expected, run, ended = number+1, from, text == streamEnd
	}
	if sending.Whole && !ended {
		return "ends as complete before its last event"
	}
	return ""
}
