package check

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// streamEnd is the data of the last event in every stream of a run's back ends.
const streamEnd = "end"

// order finds streams in which an event is missing, repeated or out of order, streams that join two runs where the
// route does not allow it, and streams that end as complete before their last event. A stream that ends with its connection
// may end early, between two events, only if a back end broke off so.
func order(recorded *history.History) []Finding {
	arrivals, ended := arrivalsByID(recorded), endedStreams(recorded)
	var findings []Finding
	for _, sending := range recorded.Sendings {
		route := recorded.Routes[sending.Route]
		if !route.Stream || !sending.Succeeded() {
			continue
		}
		if sending.Body == "" && sending.LastEvent > 0 && ended[beganAs(sending)] {
			continue // the client had the whole stream, and took it up since nothing had declared its end
		}
		if _, fault := streamFault(sending, route, slices.ContainsFunc(arrivals[sending.ID], brokeOffUnframed)); fault != "" {
			findings = append(findings, newFinding(Order, sending.EndedAt, "stream %s %s", sending.ID, fault))
		}
	}
	return findings
}

// endedStreams returns the streams, by the attempt that began them, of which a client has the last event.
func endedStreams(recorded *history.History) map[string]bool {
	ended := map[string]bool{}
	for _, sending := range recorded.Sendings {
		if strings.HasSuffix(sending.Body, " "+streamEnd+"\n\n") {
			ended[beganAs(sending)] = true
		}
	}
	return ended
}

// parseEvent parses an event: "id: N", then "data: RUN TEXT", where RUN is the identity of the back end. Padding may follow.
func parseEvent(event string) (number int, run, text string, err error) {
	_, err = fmt.Sscanf(event, "id: %d\ndata: %s %s", &number, &run, &text)
	return number, run, text, err
}

// eventsOf splits the body of a stream into events. The last one may be incomplete.
func eventsOf(body string) []string {
	if body == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
}

// streamFault describes what is wrong with a stream, and the clause of the rule that it breaks; empty for nothing.
func streamFault(sending history.Sending, route history.Route, mayEndEarly bool) (broken clause, text string) {
	expected, run, ended := sending.LastEvent+1, "", false
	for _, event := range eventsOf(sending.Body) {
		if strings.Contains(event, "\nid: ") {
			return lacksEvent, fmt.Sprintf("joins several events in %q", event)
		}
		number, from, text, err := parseEvent(event)
		if err != nil {
			if sending.IsDeclaredWhole() {
				return endsEarly, fmt.Sprintf("contains %q, which is not an event", event)
			}
			return "", "" // the stream broke off within an event
		}
		switch {
		case number != expected:
			return outOfPlace(number, expected), fmt.Sprintf("has event %d in place of %d", number, expected)
		case run != "" && from != run && !route.Resumable:
			return joinsRuns, fmt.Sprintf("joins runs of %s and %s", run, from)
		}
		expected, run, ended = number+1, from, text == streamEnd
	}
	if sending.Whole && !ended && !(sending.EndsWithConnection && mayEndEarly) {
		return endsEarly, "ends as complete before its last event"
	}
	return "", ""
}

// outOfPlace returns the clause that a stream breaks in which an event comes in place of another one.
func outOfPlace(number, expected int) clause {
	switch {
	case number > expected:
		return lacksEvent
	case number == expected-1:
		return holdsTwice
	default:
		return goesBack
	}
}

// brokeOffUnframed reports whether a back end broke off a response with neither a length nor chunks, so that nobody can tell it from a whole
// one: the back end had received the whole request.
func brokeOffUnframed(arrival history.Arrival) bool {
	return arrival.EndsWithConnection && arrival.BrokenOff && !arrival.RequestUnread
}

// overstatedEnds finds responses that are framed as complete although their back end has declared no end.
func overstatedEnds(recorded *history.History) []Finding {
	arrivals := arrivalsByID(recorded)
	var findings []Finding
	for _, sending := range recorded.Sendings {
		if sending.WasRun() && sending.IsDeclaredWhole() && hasOnlyUndeclaredEnds(arrivals[sending.ID], sending.Seal) {
			findings = append(findings, newFinding(Order, sending.EndedAt, "the response to request %s is framed as complete, which its back end has not said", sending.ID))
		}
	}
	return findings
}

// hasOnlyUndeclaredEnds reports whether a back end sent responses with the seal, all of them with neither a length nor chunks. A
// back end that is tried again for the same request seals its second response alike.
func hasOnlyUndeclaredEnds(arrivals []history.Arrival, seal string) bool {
	count := 0
	for _, arrival := range arrivals {
		if arrival.Seal != seal {
			continue
		}
		if !arrival.EndsWithConnection {
			return false
		}
		count++
	}
	return count > 0
}
