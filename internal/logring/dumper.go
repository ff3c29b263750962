package logring

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Causes of a dump, as written into its first line.
const (
	causeError   = "error"
	causeSignal  = "signal"
	causeRequest = "request"
	causePanic   = "panic"
)

const (
	// errorDumpInterval bounds the rate of dumps that error entries cause.
	errorDumpInterval = 10 * time.Second
	// keptDumpFiles is the number of files a dump directory holds per process.
	keptDumpFiles = 16
)

// dumper writes the ring's new entries to a file or to standard error. One dump
// runs at a time; entries already written are not written again.
type dumper struct {
	ring      *ring
	name      string
	directory string
	fallback  io.Writer
	now       func() time.Time
	// wake asks the dumping goroutine for a dump; a full channel means one is due anyway.
	wake chan string
	// signalled asks it for one because of a signal, however short ago the last one was.
	signalled chan struct{}

	mutex     sync.Mutex
	written   uint64
	lastError time.Time
}

// request asks for a dump in the background. It never blocks.
func (d *dumper) request(cause string) {
	select {
	case d.wake <- cause:
	default:
	}
}

// dump writes the entries that no dump has written yet. It returns the path of
// the file, or "" when it went to standard error or when there was nothing new.
func (d *dumper) dump(cause string) (string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if cause == causeError {
		if now := d.now(); !d.lastError.IsZero() && now.Sub(d.lastError) < errorDumpInterval {
			return "", nil
		}
		d.lastError = d.now()
	}
	entries, newest := d.ring.snapshot(d.written)
	if len(entries) == 0 {
		return "", nil
	}
	skipped := newest - d.written - uint64(len(entries))
	d.written = newest
	if d.directory == "" {
		return "", trace.Wrap(writeDump(d.fallback, d.name, cause, skipped, entries))
	}
	return d.dumpToFile(cause, skipped, entries)
}

func (d *dumper) dumpToFile(cause string, skipped uint64, entries [][]byte) (string, error) {
	if err := os.MkdirAll(d.directory, 0o755); err != nil {
		return "", trace.Wrap(err, "cannot make log.dump_directory")
	}
	path := filepath.Join(d.directory, fmt.Sprintf("%s-%020d.log", d.name, d.now().UnixNano()))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return "", trace.Wrap(err, "cannot write to log.dump_directory")
	}
	defer file.Close()
	if err := writeDump(file, d.name, cause, skipped, entries); err != nil {
		return "", trace.Wrap(err)
	}
	return path, trace.Wrap(d.removeOldFiles())
}

// removeOldFiles keeps the newest files of this process. Names sort by time.
func (d *dumper) removeOldFiles() error {
	paths, err := filepath.Glob(filepath.Join(d.directory, d.name+"-*.log"))
	if err != nil {
		return trace.Wrap(err)
	}
	for _, path := range paths[:max(len(paths)-keptDumpFiles, 0)] {
		if err := os.Remove(path); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func writeDump(writer io.Writer, name, cause string, skipped uint64, entries [][]byte) error {
	if _, err := fmt.Fprintf(writer, "# log ring of %s, cause: %s, entries: %d, lost before them: %d\n", name, cause, len(entries), skipped); err != nil {
		return trace.Wrap(err)
	}
	for _, entry := range entries {
		if _, err := writer.Write(entry); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
