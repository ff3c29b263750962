package yamlfile

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file or of an override: where it is, which
// key it is about, what is wrong and how to cure it.
type Problem struct {
	// Position is FILE:LINE:COLUMN, or the flag that set the key.
	Position string
	// Key is the dotted path of the key, for example limits.in_flight.
	Key   string
	Fault string
	Fix   string
}

// Error returns the problem as one line: place, key, fault and cure.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s; %s", p.Position, p.Key, p.Fault, p.Fix)
}

// Problems holds every fault that was found, in the order of the file.
type Problems []Problem

// Error returns the problems one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for index, problem := range p {
		lines[index] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
