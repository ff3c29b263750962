// Package requeststory reads the log lines of several processes and tells what became of one
// request, in order, with what its relay last learnt before.
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

// maximumLine bounds one log line.
const maximumLine = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string
	Event   events.Event
	Request string
	// Fields are all fields but those above and the level.
	Fields map[string]any
}

// Story is what became of one request.
type Story struct {
	// RelayState are the last lines of each kind in which the request's relay tells what it
	// believes, from before the request's first line.
	RelayState []Line
	// Lines are the request's own, in order.
	Lines []Line
}

// beliefs are the events that change what a relay believes.
var beliefs = []events.Event{
	events.ConfigurationInForce, events.ListingInForce, events.LeaderLost, events.LeaderFound, events.RelayStarted, events.RelayStopping,
}

// Read collects the lines of a log. Text before a line's JSON, such as a collector adds, is
// passed over, and so is what is no line of ours.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maximumLine)
	var lines []Line
	for scanner.Scan() {
		if line, is := parse(scanner.Bytes()); is {
			lines = append(lines, line)
		}
	}
	return lines, trace.Wrap(scanner.Err())
}

func parse(text []byte) (Line, bool) {
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
	if at, is := fields[events.FieldTime].(string); is {
		line.Time, _ = time.Parse(time.RFC3339Nano, at)
	}
	for _, name := range []string{events.FieldEvent, events.FieldProcess, events.FieldRequest, events.FieldTime, "level"} {
		delete(fields, name)
	}
	return line, line.Event != ""
}

// ForRequest tells the story of one request. Lines of one process keep their order.
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
		story.RelayState = believed(sorted[:first], sorted[first].Process)
	}
	return story
}

// believed returns the last line of each belief of a process.
func believed(lines []Line, process string) []Line {
	last := map[events.Event]Line{}
	for _, line := range lines {
		if line.Process == process && slices.Contains(beliefs, line.Event) {
			last[line.Event] = line
		}
	}
	var found []Line
	for _, event := range beliefs {
		if line, is := last[event]; is {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found
}
