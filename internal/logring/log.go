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

// Times in milliseconds put the lines of several processes in order.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// Log is the logger of a process with a ring in memory. It is safe for concurrent use.
type Log struct {
	zerolog.Logger
	sink *Sink
	// stream receives each entry immediately; nil for a log without a stream.
	stream zerolog.LevelWriter
}

// DroppedLines returns the number of lines that the stream has dropped, or 0 without a stream.
func (l *Log) DroppedLines() int64 {
	if counter, ok := l.stream.(interface{ Dropped() int64 }); ok {
		return counter.Dropped()
	}
	return 0
}

// NewWithStream returns a log whose entries also go to stream immediately. Writes to stream
// must not block. Run must be called as for New.
func NewWithStream(name string, bounds settings.Log, stream zerolog.LevelWriter) *Log {
	log := New(name, bounds)
	both := zerolog.MultiLevelWriter(log.sink, stream)
	log.Logger = log.Output(both)
	log.stream = stream
	return log
}

// New returns a log for the named process. Dumps that error entries, DumpOnSignal and RequestDump request
// are written only while Run runs.
func New(name string, bounds settings.Log) *Log {
	return newLog(name, bounds, os.Stderr, time.Now)
}

func newLog(name string, bounds settings.Log, fallback io.Writer, now func() time.Time) *Log {
	ring := newRing(max(bounds.RingEntries, 1))
	sink := &Sink{ring: ring, dumper: &dumper{
		ring: ring, name: name, directory: bounds.DumpDirectory,
		fallback: fallback, now: now, wake: make(chan string, 1), signalWake: make(chan struct{}, 1),
	}}
	return &Log{
		Logger: zerolog.New(sink).With().Timestamp().Str("process", name).Logger(),
		sink:   sink,
	}
}

// Run writes the requested dumps until the context ends, and then
// the dumps that are still pending.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.writePendingDumps()
			return
		case <-l.sink.dumper.signalWake:
			l.dump(causeSignal)
		case cause := <-l.sink.dumper.wake:
			l.dump(cause)
		}
	}
}

func (l *Log) writePendingDumps() {
	select {
	case cause := <-l.sink.dumper.wake:
		l.dump(cause)
	default:
	}
	select {
	case <-l.sink.dumper.signalWake:
		l.dump(causeSignal)
	default:
	}
}

// DumpOnRequest dumps the ring on an operator's request, and returns
// the path of the file ("" means standard error or no new entries).
func (l *Log) DumpOnRequest() (string, error) {
	return l.sink.dumper.dump(causeRequest)
}

// RequestDump requests a dump in the background, on an operator's request; Run writes
// it. It never blocks.
func (l *Log) RequestDump() { l.sink.dumper.requestDump(causeRequest) }

// DumpOnSignal requests a dump in the background because of a signal. It never blocks.
func (l *Log) DumpOnSignal() {
	select {
	case l.sink.dumper.signalWake <- struct{}{}:
	default: // a dump is already pending
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

// DumpOnPanic must be deferred at the top of a goroutine. On a panic it dumps the ring with the
// stack and panics again.
func (l *Log) DumpOnPanic() {
	if cause := recover(); cause != nil {
		l.WithLevel(zerolog.PanicLevel).Interface("panic", cause).Bytes("stack", debug.Stack()).Msg("the process panicked; the log ring is dumped")
		l.dump(causePanic)
		panic(cause)
	}
}

// dump writes the ring. When that fails, it reports the error on standard error.
func (l *Log) dump(cause string) {
	if _, err := l.sink.dumper.dump(cause); err != nil {
		_, _ = io.WriteString(l.sink.dumper.fallback, "log ring: "+err.Error()+"\n")
	}
}
