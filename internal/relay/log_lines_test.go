package relay

import (
	"strings"
	"sync"
)

// logLines holds lines of a log that is written while a test reads it.
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

// String returns what was written.
func (l *logLines) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines.String()
}
