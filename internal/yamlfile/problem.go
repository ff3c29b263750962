package yamlfile

import (
	"fmt"
	"strings"
)

// Problem is one mistake in a file or an override: its position, the key, what is wrong and how to fix
// it.
type Problem struct {
	// Position is FILE:LINE:COLUMN, or the flag that set the key.
	Position string
	// Key is the dotted path of the key, for example limits.in_flight.
	Key   string
	Fault string
	Fix   string
}

// Error returns the problem as one line: position, key, fault and fix.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s; %s", p.Position, p.Key, p.Fault, p.Fix)
}

// Problems lists every mistake that was found, in the order of detection.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for index, problem := range p {
		lines[index] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
