package simulation

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// traceLines is the number of trace lines that are kept, the last ones.
const traceLines = 400

// runTrace is the trace of a run: a hash of all lines, and the last lines.
type runTrace struct {
	digest *xxhash.Digest
	lines  []string
	next   int
}

func newTrace() *runTrace {
	return &runTrace{digest: xxhash.New(), lines: make([]string, 0, traceLines)}
}

// add adds a line.
func (t *runTrace) add(at time.Duration, who, format string, arguments ...any) {
	line := fmt.Sprintf("%12.6f %-13s %s", at.Seconds(), who, fmt.Sprintf(format, arguments...))
	_, _ = t.digest.WriteString(line) // never fails
	if len(t.lines) < traceLines {
		t.lines = append(t.lines, line)
		return
	}
	t.lines[t.next] = line
	t.next = (t.next + 1) % traceLines
}

// hash returns the hash of all lines so far.
func (t *runTrace) hash() uint64 { return t.digest.Sum64() }

// last returns the last lines, the oldest first.
func (t *runTrace) last() []string {
	return append(append([]string{}, t.lines[t.next:]...), t.lines[:t.next]...)
}
