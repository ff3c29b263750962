// Package requeststory reads the log lines of several processes and selects those of one request, in
// order, together with the last lines on its relay's state before the request.
package requeststory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

// maximumLineBytes bounds the length of one log line.
const maximumLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string
	Event   events.Event
	Request string
	// Fields contains the log line's other fields, without its level.
	Fields map[string]any
}

// Story contains the log lines of one request.
type Story struct {
	// RelayState contains the last line of each of the stateEvents that the request's relay logged before
	// the request's first line.
	RelayState []Line
	// Lines are the request's own lines, sorted by time.
	Lines []Line
}

// stateEvents are the events that change a relay's state: its configuration, its list of back ends, its
// leader and its own start and stop.
var stateEvents = []events.Event{
	events.ConfigurationApplied, events.ListingApplied, events.LeaderLost, events.LeaderFound, events.RelayStarted, events.RelayStopping,
}

// Read parses the lines of a log. It skips text before a line's JSON, such as a log collector's prefix,
// and lines that are not log lines of this project.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maximumLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, isEvent := parseLine(scanner.Bytes()); isEvent {
			lines = append(lines, line)
		}
	}
	return lines, trace.Wrap(scanner.Err())
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	event, _ := fields[events.FieldEvent].(string)
	line.Event = events.Event(event)
	line.Process, _ = fields[events.FieldProcess].(string)
	line.Request, _ = fields[events.FieldRequest].(string)
	if at, isText := fields[events.FieldTime].(string); isText {
		line.Time, _ = time.Parse(time.RFC3339Nano, at)
	}
	for _, name := range []string{events.FieldEvent, events.FieldProcess, events.FieldRequest, events.FieldTime, "level"} {
		delete(fields, name)
	}
	return line, line.Event != ""
}

// ForRequest returns the story of one request. Lines with equal times keep their order.
func ForRequest(request string, lines []Line) Story {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	story := Story{}
	first := -1
	for index, line := range sorted {
		if line.Request != request {
			continue
		}
		if first < 0 {
			first = index
		}
		story.Lines = append(story.Lines, line)
	}
	if first >= 0 {
		story.RelayState = lastStateLines(sorted[:first], sorted[first].Process)
	}
	return story
}

// lastStateLines returns, for each of the stateEvents, the last line in which the process logged the event. The result is
// sorted by time and has no line for an event that the process did not log.
func lastStateLines(lines []Line, process string) []Line {
	last := map[events.Event]Line{}
	for _, line := range lines {
		if line.Process == process && slices.Contains(stateEvents, line.Event) {
			last[line.Event] = line
		}
	}
	var states []Line
	for _, event := range stateEvents {
		if line, isLogged := last[event]; isLogged {
			states = append(states, line)
		}
	}
	slices.SortStableFunc(states, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return states
}
