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

// Causes of a dump, as written in its first line.
const (
	causeError   = "error"
	causeSignal  = "signal"
	causeRequest = "request"
	causePanic   = "panic"
)

const (
	// errorDumpInterval is the shortest time between two dumps that error entries cause.
	errorDumpInterval = 10 * time.Second
	// maximumDumpFiles is the number of dump files that are kept per process.
	maximumDumpFiles = 16
)

// dumper writes the new entries of the ring to a file or to standard error. Dumps do
// not run concurrently, and an entry is dumped only once.
type dumper struct {
	ring      *ring
	name      string
	directory string
	fallback  io.Writer
	now       func() time.Time
	// wake requests a dump from the goroutine of Log.Run; when the channel is full, a dump is already pending.
	wake chan string
	// signalWake requests a dump because of a signal; it is not subject to errorDumpInterval.
	signalWake chan struct{}

	mutex         sync.Mutex
	lastWritten   uint64
	lastErrorDump time.Time
}

// requestDump requests a dump in the background. It never blocks.
func (d *dumper) requestDump(cause string) {
	select {
	case d.wake <- cause:
	default:
	}
}

// dump writes the entries that no dump has written yet. It returns the path of
// the file, or "" when it wrote to standard error or wrote nothing.
func (d *dumper) dump(cause string) (string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if cause == causeError {
		if now := d.now(); !d.lastErrorDump.IsZero() && now.Sub(d.lastErrorDump) < errorDumpInterval {
			return "", nil
		}
		d.lastErrorDump = d.now()
	}
	entries, newest := d.ring.snapshot(d.lastWritten)
	if len(entries) == 0 {
		return "", nil
	}
	skipped := newest - d.lastWritten - uint64(len(entries))
	d.lastWritten = newest
	if d.directory == "" {
		return "", trace.Wrap(writeDump(d.fallback, d.name, cause, skipped, entries))
	}
	return d.dumpToFile(cause, skipped, entries)
}

func (d *dumper) dumpToFile(cause string, skipped uint64, entries [][]byte) (string, error) {
	if err := os.MkdirAll(d.directory, 0o755); err != nil {
		return "", trace.Wrap(err, "cannot create log.dump_directory")
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

// removeOldFiles removes all but the newest dump files of this process. The file names sort by time.
func (d *dumper) removeOldFiles() error {
	paths, err := filepath.Glob(filepath.Join(d.directory, d.name+"-*.log"))
	if err != nil {
		return trace.Wrap(err)
	}
	for _, path := range paths[:max(len(paths)-maximumDumpFiles, 0)] {
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
