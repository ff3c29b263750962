package operatorcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/requeststory"
)

// explainRequestCommand implements hazelctl explain request.
type explainRequestCommand struct {
	Logs      []string `long:"logs" value-name:"FILE" required:"yes" description:"log of one or several processes; may be given several times"`
	Arguments struct {
		ID string `positional-arg-name:"ID" description:"the request's identity"`
	} `positional-args:"yes" required:"yes"`
}

func (e *explainRequestCommand) run(_ context.Context, environment Environment) error {
	var lines []requeststory.Line
	for _, path := range e.Logs {
		read, err := readLog(path)
		if err != nil {
			return trace.Wrap(err)
		}
		lines = append(lines, read...)
	}
	story := requeststory.ForRequest(e.Arguments.ID, lines)
	if len(story.Lines) == 0 {
		return trace.NotFound("no line of the logs is on request %q: ordinary requests are sampled, and lines may have been dropped (log_lines_dropped)", e.Arguments.ID)
	}
	start := story.Lines[0].Time
	for _, line := range story.RelayState {
		writeStoryLine(environment.Stdout, line, start)
	}
	for _, line := range story.Lines {
		writeStoryLine(environment.Stdout, line, start)
	}
	return nil
}

func readLog(path string) ([]requeststory.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer file.Close()
	return requeststory.Read(file)
}

// writeStoryLine prints a log line with its time relative to the request's first line.
func writeStoryLine(out io.Writer, line requeststory.Line, start time.Time) {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var fields []string
	for _, name := range names {
		if value := line.Fields[name]; value != "" && value != nil {
			fields = append(fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	fmt.Fprintf(out, "%+10.3fs %s %s %s\n", line.Time.Sub(start).Seconds(), line.Process, line.Event, strings.Join(fields, " "))
}
