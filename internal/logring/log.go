package logring

import (
	"context"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// Lines of several processes are put in order by their times.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// Log is a process's logger and the ring behind it. It is safe for concurrent use.
type Log struct {
	zerolog.Logger
	sink *Sink
	// stream takes the entries as they come; nil for a log without one.
	stream zerolog.LevelWriter
}

// DroppedLines returns how many lines the stream has dropped, 0 without one.
func (l *Log) DroppedLines() int64 {
	if counting, counts := l.stream.(interface{ Dropped() int64 }); counts {
		return counting.Dropped()
	}
	return 0
}

// NewWithStream returns a log whose entries also go to the writer as they come, which
// must not block; Run must be called as for New.
func NewWithStream(name string, bounds settings.Log, stream zerolog.LevelWriter) *Log {
	log := New(name, bounds)
	both := zerolog.MultiLevelWriter(log.sink, stream)
	log.Logger = log.Output(both)
	log.stream = stream
	return log
}

// New returns a log for the named process. Run must be called for dumps caused by
// errors and requests to be written.
func New(name string, bounds settings.Log) *Log {
	return newLog(name, bounds, os.Stderr, time.Now)
}

func newLog(name string, bounds settings.Log, fallback io.Writer, now func() time.Time) *Log {
	ring := newRing(max(bounds.RingEntries, 1))
	sink := &Sink{ring: ring, dumper: &dumper{
		ring: ring, name: name, directory: bounds.DumpDirectory,
		fallback: fallback, now: now, wake: make(chan string, 1), signalled: make(chan struct{}, 1),
	}}
	return &Log{
		Logger: zerolog.New(sink).With().Timestamp().Str("process", name).Logger(),
		sink:   sink,
	}
}

// Run writes dumps on error entries and when they are asked for until the context ends, and a
// last one for an error that came just before.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.drain()
			return
		case <-l.sink.dumper.signalled:
			l.dump(causeSignal)
		case cause := <-l.sink.dumper.wake:
			l.dump(cause)
		}
	}
}

func (l *Log) drain() {
	select {
	case cause := <-l.sink.dumper.wake:
		l.dump(cause)
	default:
	}
	select {
	case <-l.sink.dumper.signalled:
		l.dump(causeSignal)
	default:
	}
}

// DumpOnRequest writes the ring out because an operator asked for it, and returns
// the path of the file ("" means standard error or nothing new).
func (l *Log) DumpOnRequest() (string, error) {
	return l.sink.dumper.dump(causeRequest)
}

// RequestDump asks for a dump on an operator's request in the background; Run writes
// it. It never blocks.
func (l *Log) RequestDump() { l.sink.dumper.request(causeRequest) }

// DumpOnSignal asks for a dump in the background because of a signal. It never blocks.
func (l *Log) DumpOnSignal() {
	select {
	case l.sink.dumper.signalled <- struct{}{}:
	default: // one is due anyway
	}
}

// WriteRecent writes the entries in memory to the writer, oldest first.
func (l *Log) WriteRecent(writer io.Writer) error {
	entries, _ := l.sink.ring.snapshot(0)
	for _, entry := range entries {
		if _, err := writer.Write(entry); err != nil {
			return err
		}
	}
	return nil
}

// DumpOnPanic, deferred at the top of a goroutine, writes the ring and the stack
// out and lets the panic go on.
func (l *Log) DumpOnPanic() {
	if cause := recover(); cause != nil {
		l.WithLevel(zerolog.PanicLevel).Interface("panic", cause).Bytes("stack", debug.Stack()).Msg("the process panics")
		l.dump(causePanic)
		panic(cause)
	}
}

// dump writes the ring; when that fails it says so on standard error, the last resort.
func (l *Log) dump(cause string) {
	if _, err := l.sink.dumper.dump(cause); err != nil {
		_, _ = io.WriteString(l.sink.dumper.fallback, "log ring: "+err.Error()+"\n")
	}
}
