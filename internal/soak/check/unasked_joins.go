package check

import (
	"slices"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// unaskedJoins finds streams of routes that may be resumed in which events of a back end follow those of another one although the
// relay did not ask it to go on after them.
func unaskedJoins(recorded *history.History) []Finding {
	arrivals := arrivalsByID(recorded)
	var findings []Finding
	for _, sending := range recorded.Sendings {
		route := recorded.Routes[sending.Route]
		if !route.Stream || !route.Resumable || !sending.Succeeded() {
			continue
		}
		before := ""
		for _, event := range history.WholeEvents(sending.Body) {
			number, run, _, err := parseEvent(event)
			if err != nil {
				break
			}
			if before != "" && run != before && !wasAskedToGoOn(arrivals[sending.ID], run, number-1) {
				findings = append(findings, newFinding(Order, sending.EndedAt, "stream %s joins runs of %s and %s, which was not asked to go on after event %d", sending.ID, before, run, number-1))
				break
			}
			before = run
		}
	}
	return findings
}

// wasAskedToGoOn reports whether a back end was asked to go on after the event with the given number.
func wasAskedToGoOn(arrivals []history.Arrival, run string, last int) bool {
	replica, _, _ := strings.Cut(run, softwareSeparator)
	return slices.ContainsFunc(arrivals, func(arrival history.Arrival) bool {
		return arrival.Replica == replica && arrival.LastEvent == last
	})
}
