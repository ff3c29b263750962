package relay

import (
	"strconv"
	"strings"
)

// reportedLoad is the load that a back end reports in the load header of a response.
type reportedLoad struct {
	running, waiting, slots int
	// relativeTimePercent is how long work takes at this moment, in percent of the usual time; 0 if the header has no such
	// figure.
	relativeTimePercent int
}

// parseLoadHeader parses a load header: the comma-separated figures running, waiting, slots and relative time. It returns false
// when running or waiting is absent or no number. The others are 0 where they are absent or no positive number, since
// not every back end sends them.
func parseLoadHeader(value string) (reportedLoad, bool) {
	fields := strings.Split(value, ",")
	if len(fields) < 2 {
		return reportedLoad{}, false
	}
	running, runningErr := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(fields[1]))
	if runningErr != nil || waitingErr != nil {
		return reportedLoad{}, false
	}
	return reportedLoad{running: running, waiting: waiting, slots: optionalFigure(fields, 2), relativeTimePercent: optionalFigure(fields, 3)}, true
}

// optionalFigure returns the figure at an index of a load header; 0 when it is absent or no positive number.
func optionalFigure(fields []string, index int) int {
	if index >= len(fields) {
		return 0
	}
	figure, err := strconv.Atoi(strings.TrimSpace(fields[index]))
	if err != nil {
		return 0
	}
	return max(figure, 0)
}
