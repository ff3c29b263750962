package relay

import (
	"strings"
	"sync"
)

// logLines collects log lines; it is safe for a test to read them while they are written.
type logLines struct {
	mutex sync.Mutex
	lines strings.Builder
}

// Write implements io.Writer.
func (l *logLines) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines.Write(line)
}

// String returns the lines written so far.
func (l *logLines) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines.String()
}
